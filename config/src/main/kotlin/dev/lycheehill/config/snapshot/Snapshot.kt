package dev.lycheehill.config.snapshot

import dev.lycheehill.config.fold.FoldState

/** Snapshot of the fold state: all that a node needs to continue reading the log at [FoldState.nextOffset]. */
class Snapshot(
    val state: FoldState,
) {
    /** Position at which a node that applies the snapshot continues to read the log. */
    val position: SnapshotPosition
        get() = SnapshotPosition(config = state.nextOffset)
}
