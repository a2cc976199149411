package dev.lycheehill.config.snapshot

import dev.lycheehill.core.hash.Rendezvous

/**
 * Decides which reader of the log writes a snapshot, and when. The decision is a pure function.
 *
 * Rendezvous hashing ranks the readers. The reader of rank 0 writes when the log has [RECORDS_PER_RANK] records more than the newest
 * snapshot, or [MAX_PERIOD_MS] after the node saw that snapshot. For each further rank, the reader waits for
 * [RECORDS_PER_RANK] more records or [TAKEOVER_DELAY_MS] longer. A failed or paused writer is thus replaced without an
 * election. Two writers at a time do no harm, because snapshots at equal positions have equal bytes and readers ignore
 * older positions.
 */
object SnapshotWritePolicy {
    /** Number of new records after which a snapshot is due for rank 0. Each further rank waits for as many more. */
    const val RECORDS_PER_RANK: Long = 256

    /** Time after which a snapshot is due even without new records, because the log drops old snapshots. */
    const val MAX_PERIOD_MS: Long = 3_600_000

    /** Additional time that the reader of each further rank waits. */
    const val TAKEOVER_DELAY_MS: Long = 300_000

    /** Age of the node's view of the log above which the node reads the log before it decides, for example after a pause. */
    const val MAX_VIEW_AGE_MS: Long = 5_000

    private const val RANKING_KEY = "snapshots"

    /** Returns the decision of the node of [view] at [nowMs], a time on the node's own clock. */
    fun decide(
        view: SnapshotWriterView,
        nowMs: Long,
    ): SnapshotDecision {
        val rank = Rendezvous.rank(RANKING_KEY, view.readerIds).indexOf(view.nodeId)
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
