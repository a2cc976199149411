package dev.lycheehill.fleet.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Versions in force in a subtree of the acknowledgement tree of one zone.
 *
 * @property viewHash hash of the zone's members that the reporting node uses for the tree.
 * @property nodes nodes that reported.
 * @property lowest lowest version in force on any of them.
 * @property counts number of nodes by version, for the highest versions only.
 * @property lagging some ids of nodes below the highest version.
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
    /** Returns how many reporting nodes serve [version] or a later one. Never counts a node that is below it. */
    fun nodesAtLeast(version: Long): Int =
        if (version <= lowest) nodes else counts.entries.sumOf { (held, count) -> if (held >= version) count else 0 }
}
