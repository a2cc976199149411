package dev.lycheehill.config.snapshot

/** Decision of a reader of the log whether to write a snapshot. */
enum class SnapshotDecision {
    /** Write no snapshot: no snapshot is due, or it is the turn of another reader. */
    WAIT,

    /** Write a snapshot of the node's own state now. */
    WRITE,

    /** The node's view of the log is too old for a decision: read the streams `config` and `snapshots` to their ends first. */
    CATCH_UP,
}
