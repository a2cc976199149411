package dev.lycheehill.platformlog.publish

import arrow.core.Either
import dev.lycheehill.config.fold.ConfigFold
import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.fold.PatchOutcome
import dev.lycheehill.config.fold.outcomeOf
import dev.lycheehill.config.log.PatchId
import dev.lycheehill.config.log.Streams
import dev.lycheehill.config.snapshot.SnapshotRestorer
import dev.lycheehill.platformlog.LogError
import dev.lycheehill.platformlog.PlatformLog
import dev.lycheehill.platformlog.snapshot.SnapshotReader

/**
 * Reads and folds the log for one publish. Takes over the state of the node when the node has folded more of the log. Not
 * thread-safe.
 */
internal class LogFollower(
    private val log: PlatformLog,
    private val foldStateSource: FoldStateSource,
) {
    private val snapshots = SnapshotReader(log)

    /** Fold state with the highest offset known. */
    var state: FoldState = foldStateSource.foldState()
        private set

    /** Reason why no further records can be folded; null when they can. */
    val blockingReason: String? get() = divergence ?: state.stoppedReason

    private var divergence: String? = null

    /** Returns the outcome of patch [id] that the records folded so far prove; null when they prove none. */
    fun outcomeOf(id: PatchId): PatchOutcome? = state.outcomeOf(id).takeIf { it != PatchOutcome.NotKnownYet }

    /**
     * Reads and folds new records, waiting up to [waitMs] milliseconds for the first.
     *
     * Returns false when the read failed or when the next record is no longer retained.
     */
    fun poll(waitMs: Long): Boolean {
        adoptNodeState()
        val page = log.read(Streams.CONFIG, state.nextOffset, MAX_PAGE_RECORDS, waitMs).getOrNull()
        // The node may have received records from peers during the wait for the log.
        adoptNodeState()
        if (page != null) checkForDivergence(page.nextOffset)
        if (page != null && SnapshotRestorer.isNeeded(state, page.firstRetainedOffset)) restoreFromSnapshot()
        if (divergence == null) page?.entries?.forEach { state = ConfigFold.apply(state, it) }
        return page != null && page.firstRetainedOffset <= state.nextOffset
    }

    /**
     * Appends [payload] and returns the offset of the record.
     *
     * An offset that was already folded shows that the log is not the one followed so far; [blockingReason] then says so.
     */
    fun append(payload: ByteArray): Either<LogError, Long> {
        val nextOffsetBefore = state.nextOffset
        return log.append(Streams.CONFIG, payload).onRight { if (it < nextOffsetBefore) checkForDivergence(it) }
    }

    // Snapshots are read at each poll until one can be used, because a newer one may have been written in the meantime.
    private fun restoreFromSnapshot() {
        state = snapshots.restore(state).getOrNull() ?: state
    }

    private fun checkForDivergence(endOffset: Long) {
        if (endOffset < state.nextOffset) {
            divergence = "the log ends at offset $endOffset, but was read up to offset ${state.nextOffset} before"
        }
    }

    private fun adoptNodeState() {
        val current = foldStateSource.foldState()
        if (current.nextOffset > state.nextOffset) state = current
    }

    private companion object {
        const val MAX_PAGE_RECORDS = 256
    }
}
