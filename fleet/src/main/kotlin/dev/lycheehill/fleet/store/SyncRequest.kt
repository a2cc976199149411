package dev.lycheehill.fleet.store

import dev.lycheehill.fleet.membership.MemberRecord
import kotlinx.serialization.Serializable

/** Asks another node for what the sender lacks. */
@Serializable
data class SyncRequest(
    val sender: MemberRecord,
    val version: Long,
    val tableHash: Int,
)
