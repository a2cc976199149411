package dev.lycheehill.fleet.store

import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.fleet.membership.MemberRecord
import kotlinx.serialization.Serializable

/**
 * Reply to a [SyncRequest].
 *
 * @property version version of the configuration in force on the replying node.
 * @property content configuration of [version]; null when the requesting node already has it.
 * @property members all member records; empty when the member tables of both nodes are equal.
 */
@Serializable
data class SyncReply(
    val version: Long,
    val content: ConfigContent?,
    val members: List<MemberRecord>,
)
