package dev.lycheehill.fleet.store

import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.platformlog.keyed.StoreEpoch
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Periodic message from one node to another. Field names on the wire are short because traffic between zones is billed by the byte.
 *
 * @property nodeId id of the sending node.
 * @property incarnation current incarnation of the sender's record.
 * @property version version of the configuration in force on the sender.
 * @property tableHash hash over the sender's member records.
 * @property storeBackMs time in milliseconds since the store answered the sender again after an outage without answers; null when
 *   there was no recent outage.
 * @property storeEpoch epoch of the store as the sender knows it; [StoreEpoch.UNKNOWN] if it does not.
 * @property record record of the sender, if the record has changed recently or the receiver may lack it; or the record of an earlier
 *   process of the receiver, if the receiver seems to have forgotten it.
 */
@Serializable
data class PeerHeartbeat(
    @SerialName("n") val nodeId: String,
    @SerialName("i") val incarnation: Long,
    @SerialName("v") val version: Long,
    @SerialName("h") val tableHash: Int,
    @SerialName("r") val record: MemberRecord? = null,
    @SerialName("s") val storeBackMs: Long? = null,
    @SerialName("e") val storeEpoch: Long = StoreEpoch.UNKNOWN,
)
