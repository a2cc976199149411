package dev.lycheehill.platformlog.publish

/**
 * Number of nodes on which a version, or a later version, is in force.
 *
 * @property nodes number of live nodes.
 * @property nodesInForce number of live nodes that serve the version or a later one.
 * @property laggingZones zones that have a node with a lower version, or that sent no recent report.
 */
data class InForceCount(
    val nodes: Int,
    val nodesInForce: Int,
    val laggingZones: Set<String> = emptySet(),
) {
    /** Whether the version is known to be in force on all live nodes. */
    val isComplete: Boolean get() = nodes > 0 && nodesInForce >= nodes && laggingZones.isEmpty()
}
