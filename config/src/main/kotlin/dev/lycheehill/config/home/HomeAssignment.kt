package dev.lycheehill.config.home

import kotlinx.serialization.Serializable

/**
 * One home of the keys of a domain.
 *
 * @property nodeId node beside the target.
 * @property bootId changes with each start of the node's process.
 * @property weight share of the keys; at least 0.
 */
@Serializable
data class HomeAssignment(
    val nodeId: String,
    val bootId: Long,
    val weight: Int,
)
