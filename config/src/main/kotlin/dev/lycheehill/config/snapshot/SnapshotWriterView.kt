package dev.lycheehill.config.snapshot

/**
 * Input of [SnapshotWritePolicy]: what one node knows about the readers, the log and its snapshots.
 *
 * @property nodeId id of the node.
 * @property readerIds ids of the live log readers of all zones.
 * @property position position of the snapshot that the node would write.
 * @property newest newest snapshot known to be in the log.
 * @property followedAtMs time on the node's own clock at which the node last saw the ends of streams `config` and `snapshots`.
 */
data class SnapshotWriterView(
    val nodeId: String,
    val readerIds: Collection<String>,
    val position: SnapshotPosition,
    val newest: KnownSnapshot,
    val followedAtMs: Long,
)
