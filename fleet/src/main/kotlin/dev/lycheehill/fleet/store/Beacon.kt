package dev.lycheehill.fleet.store

import dev.lycheehill.fleet.membership.MemberRecord
import kotlinx.serialization.Serializable

/**
 * Sign of life from one node to another.
 *
 * @property version configuration in force at the sender.
 * @property tableHash hash over the sender's member records.
 */
@Serializable
data class Beacon(
    val sender: MemberRecord,
    val version: Long,
    val tableHash: Int,
)
