package dev.lycheehill.config.snapshot

import kotlinx.serialization.Serializable

/**
 * Offset that a snapshot continues at; the higher position is the newer snapshot.
 *
 * @property config next offset in stream `config`.
 */
@Serializable
data class SnapshotPosition(
    val config: Long,
) : Comparable<SnapshotPosition> {
    override fun compareTo(other: SnapshotPosition): Int = config.compareTo(other.config)
}
