package dev.lycheehill.config.snapshot

/**
 * Newest snapshot that a node knows to be in the log.
 *
 * @property position position of the snapshot; position 0 when the node knows no snapshot.
 * @property seenAtMs time on the node's own clock at which the node read or wrote the snapshot; the node's start time when it
 * knows no snapshot.
 */
data class KnownSnapshot(
    val position: SnapshotPosition,
    val seenAtMs: Long,
)
