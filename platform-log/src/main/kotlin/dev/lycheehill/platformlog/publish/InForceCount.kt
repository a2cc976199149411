package dev.lycheehill.platformlog.publish

/**
 * On how many nodes a version, or a later one, is in force.
 *
 * @property nodes live nodes.
 * @property nodesInForce those of them that serve the version or a later one.
 * @property laggingZones zones with a node below the version, or without a recent report.
 */
data class InForceCount(
    val nodes: Int,
    val nodesInForce: Int,
    val laggingZones: Set<String> = emptySet(),
) {
    /** Tells whether the version is known to be in force on all nodes. */
    val isComplete: Boolean get() = nodes > 0 && nodesInForce >= nodes && laggingZones.isEmpty()
}
