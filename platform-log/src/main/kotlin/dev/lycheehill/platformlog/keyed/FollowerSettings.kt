package dev.lycheehill.platformlog.keyed

/**
 * Times of a [TopicFollower].
 *
 * @property waitMs longest wait of a read without new records; each read is priced by the platform.
 * @property lookoutWaitMs longest wait of a read of the lookout. With the time-out of a call, a pause and the delay of the
 *   other nodes it fits into the 3 s after which a store that was silent counts as stable.
 * @property roleReviewMs period in which a listener finds out whether it is to read; a part of the 3 s in which the
 *   loss of a reader must be made good.
 * @property pauseMs pause after new records, so that changes in quick succession cost one read; a part of the 2 s in
 *   which a configuration must be in force.
 * @property readAgainPauseMs shortest time between two reads that are begun because other nodes found the store again; they
 *   find it within about a second of each other.
 * @property firstBackoffMs longest pause after the first failed call.
 * @property maxBackoffMs longest pause between failed calls; entries must be back 2 s after the store is.
 */
data class FollowerSettings(
    val waitMs: Long = 15_000,
    val lookoutWaitMs: Long = 1_000,
    val roleReviewMs: Long = 1_000,
    val pauseMs: Long = 900,
    val readAgainPauseMs: Long = 1_000,
    val firstBackoffMs: Long = 100,
    val maxBackoffMs: Long = 700,
)
