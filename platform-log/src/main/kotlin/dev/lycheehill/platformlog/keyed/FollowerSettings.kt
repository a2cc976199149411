package dev.lycheehill.platformlog.keyed

/**
 * Times of a [TopicFollower].
 *
 * @property maxReadWaitMs longest wait of a read without new records; each read is priced by the platform.
 * @property probeReadWaitMs longest wait of a read of the lookout. With the time-out of a call, a pause and the delay of the
 *   other nodes it fits into the 3 s after which a store that was silent counts as stable.
 * @property roleCheckPeriodMs period in which a listener finds out whether it is to read; a part of the 3 s in which the
 *   loss of a reader must be made good.
 * @property readDelayMs pause after new records, so that changes in quick succession cost one read; a part of the 2 s in
 *   which a configuration must be in force.
 * @property minReadRestartIntervalMs shortest time between two reads that are begun because other nodes found the store again; they
 *   find it within about a second of each other.
 * @property initialBackoffMs longest pause after the first failed call.
 * @property maxBackoffMs longest pause between failed calls; entries must be back 2 s after the store is.
 */
data class FollowerSettings(
    val maxReadWaitMs: Long = 15_000,
    val probeReadWaitMs: Long = 1_000,
    val roleCheckPeriodMs: Long = 1_000,
    val readDelayMs: Long = 900,
    val minReadRestartIntervalMs: Long = 1_000,
    val initialBackoffMs: Long = 100,
    val maxBackoffMs: Long = 700,
)
