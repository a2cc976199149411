package dev.lycheehill.fleet.store

import dev.lycheehill.fleet.membership.MemberRecord
import kotlinx.serialization.Serializable

/**
 * Request to another node for a newer configuration and for member records.
 *
 * @property sender record of the requesting node.
 * @property version version of the configuration in force on the requesting node.
 * @property tableHash hash over the member records of the requesting node.
 */
@Serializable
data class SyncRequest(
    val sender: MemberRecord,
    val version: Long,
    val tableHash: Int,
)
