package dev.lycheehill.config.snapshot

/** What a reader of the log does about snapshots. */
enum class SnapshotDecision {
    /** Another reader writes, or no snapshot is due. */
    WAIT,

    /** Write a snapshot of the own state now. */
    WRITE,

    /** The own view of the log is too old to decide; read both streams to their ends first. */
    CATCH_UP,
}
