package dev.lycheehill.fleet

import kotlinx.serialization.Serializable

/**
 * Number of nodes on which a version, or a later one, is in force.
 *
 * @property nodes number of live nodes.
 * @property nodesInForce number of live nodes on which [version] or a later one is in force.
 * @property laggingZones zones with a node on an earlier version, or without a recent report.
 * @property laggingNodes ids of some of the nodes on an earlier version.
 */
@Serializable
data class InForceReport(
    val version: Long,
    val nodes: Int,
    val nodesInForce: Int,
    val laggingZones: Set<String> = emptySet(),
    val laggingNodes: Set<String> = emptySet(),
)
