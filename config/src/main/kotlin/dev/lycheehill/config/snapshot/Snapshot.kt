package dev.lycheehill.config.snapshot

import dev.lycheehill.config.fold.FoldState

/**
 * Everything that a node needs to follow the log from [FoldState.nextOffset] on.
 *
 * @property homeEpochs encoded home epochs; their owner defines the bytes.
 * @property homesNextOffset offset in stream `homes` that follows the last folded home epoch.
 */
class Snapshot(
    val state: FoldState,
    val homeEpochs: ByteArray = ByteArray(0),
    val homesNextOffset: Long = 0,
) {
    /** Where a node that applies the snapshot continues to read. */
    val position: SnapshotPosition
        get() = SnapshotPosition(config = state.nextOffset, homes = homesNextOffset)
}
