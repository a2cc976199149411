package dev.lycheehill.platformlog.keyed

/**
 * Time settings of a [TopicFollower], in milliseconds.
 *
 * @property maxReadWaitMs maximum time that a read waits at the store for new records. The platform charges for each read,
 *   so the time is long.
 * @property probeReadWaitMs time that a read of the [prober][ReaderRole.PROBER] waits for new records. The wait is
 *   short, so that all nodes have noticed the recovery of the store when the store counts as stable, 3 s after the recovery.
 *   The timeout of a call, a backoff and the delay of the other nodes count towards the 3 s, too.
 * @property roleCheckPeriodMs period at which a [listener][ReaderRole.LISTENER] checks whether its role has changed. The
 *   period limits how long a failed reader goes unreplaced; a failed reader must be replaced within 3 s.
 * @property readDelayMs delay of the next read after new records, so that changes in quick succession cost one read. The
 *   delay counts towards the 2 s within which a new configuration must be in force.
 * @property minReadRestartIntervalMs minimum time between two restarts of a read. A waiting read is restarted when another
 *   node reports that the store has recovered. The reports of one recovery arrive within about a second, and the minimum
 *   makes them cause one restart.
 * @property initialBackoffMs half of the maximum delay of the first retry of a failed call. The maximum doubles with each
 *   further retry, up to [maxBackoffMs].
 * @property maxBackoffMs maximum delay between two retries. The maximum bounds how late a node notices that the store has
 *   recovered; nodes must have the newest records 2 s after the recovery.
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
