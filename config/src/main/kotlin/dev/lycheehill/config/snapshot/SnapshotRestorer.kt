package dev.lycheehill.config.snapshot

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.lycheehill.config.fold.FoldState

/** Restores the state of a node whose next offset is no longer retained. Pure. */
object SnapshotRestorer {
    /** Tells whether a node with [state] needs a snapshot because the log begins at [firstRetainedOffset]. */
    fun isNeeded(
        state: FoldState,
        firstRetainedOffset: Long,
    ): Boolean = state.nextOffset < firstRetainedOffset

    /**
     * Returns the state to continue with, or why [snapshot] is not applied.
     *
     * A snapshot is applied only when it lies ahead of [current] in the log, has at least its version and agrees with it
     * on the versions that both remember.
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

    /** Applies the newest of [snapshots] that may be applied; returns [current] when there is none. */
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
            earlier.history.all { (made, patchId) -> history[made].let { it == null || it == patchId } }
}
