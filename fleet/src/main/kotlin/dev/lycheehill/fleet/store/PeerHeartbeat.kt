package dev.lycheehill.fleet.store

import dev.lycheehill.fleet.membership.MemberRecord
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Sign of life from one node to another. The names on the wire are short, because bytes between zones are priced.
 *
 * @property incarnation newest incarnation of the sender's record.
 * @property version configuration in force at the sender.
 * @property tableHash hash over the sender's member records.
 * @property storeBackMs time since the sender found the store again that had been silent; null when that was long ago.
 * @property record the sender's record, when it has changed or the receiver may not have it.
 */
@Serializable
data class PeerHeartbeat(
    @SerialName("n") val nodeId: String,
    @SerialName("i") val incarnation: Long,
    @SerialName("v") val version: Long,
    @SerialName("h") val tableHash: Int,
    @SerialName("r") val record: MemberRecord? = null,
    @SerialName("s") val storeBackMs: Long? = null,
)
