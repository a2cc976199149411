package dev.lycheehill.fleet.store

import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.fleet.membership.MemberRecord
import kotlinx.serialization.Serializable

/**
 * What the asked node has.
 *
 * @property content configuration of [version]; null when the asking node has it already.
 * @property members all member records; empty when the tables are equal.
 */
@Serializable
data class SyncReply(
    val version: Long,
    val content: ConfigContent?,
    val members: List<MemberRecord>,
)
