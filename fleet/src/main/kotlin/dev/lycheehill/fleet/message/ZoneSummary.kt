package dev.lycheehill.fleet.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Versions in force in a subtree of the acknowledgement tree of one zone.
 *
 * @property viewHash hash of the zone's members from which the reporting node built the tree.
 * @property nodes number of nodes that reported.
 * @property lowest lowest version in force on a node that reported.
 * @property counts number of nodes by version, for the highest versions only.
 * @property lagging ids of some of the nodes below the highest version.
 */
@Serializable
data class ZoneSummary(
    @SerialName("z") val zone: String,
    @SerialName("w") val viewHash: Int,
    @SerialName("n") val nodes: Int,
    @SerialName("l") val lowest: Long,
    @SerialName("c") val counts: Map<Long, Int>,
    @SerialName("g") val lagging: List<String> = emptyList(),
) {
    /**
     * Returns the number of reporting nodes on which [version] or a later one is in force.
     *
     * The number may be too low, since [counts] is incomplete, but is never too high.
     */
    fun nodesAtLeast(version: Long): Int =
        if (version <= lowest) nodes else counts.entries.sumOf { (reportedVersion, count) -> if (reportedVersion >= version) count else 0 }
}
