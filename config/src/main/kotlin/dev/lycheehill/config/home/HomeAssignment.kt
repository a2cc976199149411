package dev.lycheehill.config.home

import kotlinx.serialization.Serializable

/**
 * One member of a home epoch: a node that is home of a share of the domain's keys.
 *
 * @property nodeId id of the node beside the target.
 * @property bootId id of the run of the node's process; each start has another id.
 * @property weight weight of this member among the members of the epoch, at least 0. The share of the keys is proportional to it.
 */
@Serializable
data class HomeAssignment(
    val nodeId: String,
    val bootId: Long,
    val weight: Int,
)
