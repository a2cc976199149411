package dev.lycheehill.config.snapshot

/**
 * The newest snapshot that a node knows to be in the log.
 *
 * @property position position of the snapshot; zero when none is known.
 * @property atMs when the node read or wrote it; when the node started, if none is known. On the node's own clock.
 */
data class SnapshotMark(
    val position: SnapshotPosition,
    val atMs: Long,
)
