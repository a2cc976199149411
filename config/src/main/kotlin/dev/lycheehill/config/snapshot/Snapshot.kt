package dev.lycheehill.config.snapshot

import dev.lycheehill.config.fold.FoldState

/** Everything that a node needs to follow the log from [FoldState.nextOffset] on. */
class Snapshot(
    val state: FoldState,
) {
    /** Where a node that applies the snapshot continues to read. */
    val position: SnapshotPosition
        get() = SnapshotPosition(config = state.nextOffset)
}
