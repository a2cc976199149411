package dev.lycheehill.config.snapshot

import kotlinx.serialization.Serializable

/**
 * Offsets that a snapshot continues at; the higher position is the newer snapshot.
 *
 * @property config next offset in stream `config`.
 * @property homes next offset in stream `homes`.
 */
@Serializable
data class SnapshotPosition(
    val config: Long,
    val homes: Long = 0,
) : Comparable<SnapshotPosition> {
    override fun compareTo(other: SnapshotPosition): Int = compareValuesBy(this, other, { it.config }, { it.homes })
}
