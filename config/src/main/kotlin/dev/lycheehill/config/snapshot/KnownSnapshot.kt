package dev.lycheehill.config.snapshot

/**
 * The newest snapshot that a node knows to be in the log.
 *
 * @property position position of the snapshot; zero when none is known.
 * @property seenAtMs when the node read or wrote it; when the node started, if none is known. On the node's own clock.
 */
data class KnownSnapshot(
    val position: SnapshotPosition,
    val seenAtMs: Long,
)
