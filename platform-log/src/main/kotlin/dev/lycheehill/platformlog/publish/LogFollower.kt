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

/** Folds the log for one publish, ahead of the node or behind it, whichever is further. Not thread-safe. */
internal class LogFollower(
    private val log: PlatformLog,
    private val foldStateSource: FoldStateSource,
) {
    private val snapshots = SnapshotReader(log)

    /** Furthest state known. */
    var state: FoldState = foldStateSource.foldState()
        private set

    /** Why no further records can be folded; null while they can. */
    val obstacle: String? get() = divergence ?: state.stoppedReason

    private var divergence: String? = null

    /** Returns what the records so far prove about [id]; null when they prove nothing. */
    fun outcomeOf(id: PatchId): PatchOutcome? = state.outcomeOf(id).takeIf { it != PatchOutcome.NotKnownYet }

    /** Reads new records, waiting up to [waitMs] for the first. Returns false when the log gave none of its records. */
    fun poll(waitMs: Long): Boolean {
        adoptNodeState()
        val page = log.read(Streams.CONFIG, state.nextOffset, MAX_RECORDS, waitMs).getOrNull()
        // The node may have received records from peers while the log was waited for.
        adoptNodeState()
        if (page != null) checkEnd(page.nextOffset)
        if (page != null && SnapshotRestorer.isNeeded(state, page.firstRetainedOffset)) restore()
        if (divergence == null) page?.entries?.forEach { state = ConfigFold.apply(state, it) }
        return page != null && page.firstRetainedOffset <= state.nextOffset
    }

    /** Appends [payload]. An offset that was folded before shows that the log is not the one that was followed. */
    fun append(payload: ByteArray): Either<LogError, Long> {
        val foldedBefore = state.nextOffset
        return log.append(Streams.CONFIG, payload).onRight { if (it < foldedBefore) checkEnd(it) }
    }

    // A snapshot is read again at each poll, since a newer one may have been written in the meantime.
    private fun restore() {
        state = snapshots.restore(state).getOrNull() ?: state
    }

    private fun checkEnd(endOffset: Long) {
        if (endOffset < state.nextOffset) {
            divergence = "the log ends at offset $endOffset, but offset ${state.nextOffset} was reached before"
        }
    }

    private fun adoptNodeState() {
        val current = foldStateSource.foldState()
        if (current.nextOffset > state.nextOffset) state = current
    }

    private companion object {
        const val MAX_RECORDS = 256
    }
}
