package dev.lycheehill.config.snapshot

import kotlinx.serialization.Serializable

/**
 * Position of a snapshot in the log. Of two snapshots, the one with the higher position is newer.
 *
 * @property config offset, in the stream `config`, of the first record that the snapshot does not include.
 */
@Serializable
data class SnapshotPosition(
    val config: Long,
) : Comparable<SnapshotPosition> {
    override fun compareTo(other: SnapshotPosition): Int = config.compareTo(other.config)
}
