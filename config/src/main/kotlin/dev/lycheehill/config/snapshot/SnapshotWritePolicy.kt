package dev.lycheehill.config.snapshot

import dev.lycheehill.core.hash.Rendezvous

/**
 * Decides which reader writes a snapshot, and when. Pure.
 *
 * The reader of rank 0 writes when [RECORDS_PER_RANK] records or [MAX_PERIOD_MS] have passed since the newest snapshot. The reader of
 * each further rank waits for [RECORDS_PER_RANK] records and [TAKEOVER_DELAY_MS] more, so that a dead or paused writer is replaced
 * without an agreement. Two writers are harmless: equal positions give equal bytes, and readers ignore older positions.
 */
object SnapshotWritePolicy {
    /** Records after which a snapshot is due. */
    const val RECORDS_PER_RANK: Long = 256

    /** Time after which a snapshot is due even without new records, since the log drops old snapshots. */
    const val MAX_PERIOD_MS: Long = 3_600_000

    /** Additional time that each further rank waits. */
    const val TAKEOVER_DELAY_MS: Long = 300_000

    /** Age of the own view of the log above which the node must read first, for example after a pause. */
    const val MAX_VIEW_AGE_MS: Long = 5_000

    private const val KEY = "snapshots"

    /** Decides for the node of [view] at [nowMs] on its own clock. */
    fun decide(
        view: SnapshotWriterView,
        nowMs: Long,
    ): SnapshotDecision {
        val rank = Rendezvous.rank(KEY, view.readerIds).indexOf(view.nodeId)
        return when {
            rank < 0 || view.position == SnapshotPosition(0) || !isDue(view, nowMs, rank) -> SnapshotDecision.WAIT
            nowMs - view.followedAtMs > MAX_VIEW_AGE_MS || view.newest.position > view.position -> SnapshotDecision.CATCH_UP
            else -> SnapshotDecision.WRITE
        }
    }

    private fun isDue(
        view: SnapshotWriterView,
        nowMs: Long,
        rank: Int,
    ): Boolean {
        val records = view.position.config - view.newest.position.config
        return records >= RECORDS_PER_RANK * (rank + 1) || nowMs - view.newest.seenAtMs >= MAX_PERIOD_MS + TAKEOVER_DELAY_MS * rank
    }
}
