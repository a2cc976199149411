package dev.lycheehill.config.snapshot

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.lycheehill.config.fold.FoldState

/** Restores the state of a node from a snapshot when the log no longer retains the node's next record. All functions are pure. */
object SnapshotRestorer {
    /** Returns whether a node with [state] needs a snapshot, given that the log begins at [firstRetainedOffset]. */
    fun isNeeded(
        state: FoldState,
        firstRetainedOffset: Long,
    ): Boolean = state.nextOffset < firstRetainedOffset

    /**
     * Returns the state of [snapshot], or the reason why the snapshot is not applied.
     *
     * A snapshot is applied only when it is ahead of [current] in the log, has the same or a higher version and agrees with
     * [current] on the versions that are in the histories of both.
     */
    fun apply(
        current: FoldState,
        snapshot: Snapshot,
    ): Either<SnapshotError, FoldState> {
        val next = snapshot.state
        return when {
            next.nextOffset < current.nextOffset -> SnapshotError.OLDER.left()
            next.nextOffset == current.nextOffset ->
                (if (next.chainHash == current.chainHash) SnapshotError.OLDER else SnapshotError.DIVERGED).left()
            !next.extends(current) -> SnapshotError.DIVERGED.left()
            else -> next.right()
        }
    }

    /** Returns the state of the newest of [snapshots] that can be applied to [current], or [current] when there is none. */
    fun restoreNewest(
        current: FoldState,
        snapshots: Collection<Snapshot>,
    ): FoldState =
        snapshots
            .sortedByDescending { it.position }
            .firstNotNullOfOrNull { apply(current, it).getOrNull() }
            ?: current

    private fun FoldState.extends(earlier: FoldState): Boolean =
        version >= earlier.version &&
            (version != earlier.version || contentHash == earlier.contentHash) &&
            earlier.history.all { (past, patchId) -> history[past].let { it == null || it == patchId } }
}
