package dev.lycheehill.fleet

import kotlinx.serialization.Serializable

/**
 * Tells on how many nodes a version, or a later one, is in force.
 *
 * @property nodes live nodes counted.
 * @property nodesInForce those of them that serve the version or a later one.
 * @property laggingZones zones with at least one node below the version, or with no recent report.
 * @property laggingNodes some ids of nodes below the version.
 */
@Serializable
data class InForceReport(
    val version: Long,
    val nodes: Int,
    val nodesInForce: Int,
    val laggingZones: Set<String> = emptySet(),
    val laggingNodes: Set<String> = emptySet(),
)
