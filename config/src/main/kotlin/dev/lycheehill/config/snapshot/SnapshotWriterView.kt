package dev.lycheehill.config.snapshot

/**
 * What one node knows when it decides whether to write a snapshot.
 *
 * @property nodeId id of the node.
 * @property readerIds ids of the live readers of all zones.
 * @property position position of the snapshot that the node would write.
 * @property newest newest snapshot known to be in the log.
 * @property followedAtMs when the node last saw the ends of streams `config` and `snapshots`. On the node's own clock.
 */
data class SnapshotWriterView(
    val nodeId: String,
    val readerIds: Collection<String>,
    val position: SnapshotPosition,
    val newest: KnownSnapshot,
    val followedAtMs: Long,
)
