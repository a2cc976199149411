package dev.lycheehill.platformlog.keyed

/**
 * Time settings of a [TopicFollower], in milliseconds.
 *
 * @property maxReadWaitMs maximum time that a read waits at the store for new records. The platform charges for each read,
 *   so the time is long.
 * @property probeReadWaitMs time that a read of the [prober][ReaderRole.PROBER] waits for new records. Together with the
 *   timeout of a call, a backoff and the delay of the other nodes, it stays below the 3 s after which a store that was
 *   unresponsive counts as stable.
 * @property roleCheckPeriodMs period at which a [listener][ReaderRole.LISTENER] checks whether its role has changed. It is a
 *   part of the 3 s within which a failed reader must be replaced.
 * @property readDelayMs delay of the next read after new records, so that changes in quick succession cost one read. It is
 *   a part of the 2 s within which a configuration must be in force.
 * @property minReadRestartIntervalMs minimum time between two restarts of a read because other nodes report that the store
 *   has recovered. The reports of one recovery arrive within about a second.
 * @property initialBackoffMs base of the exponential backoff; the first retry of a failed call is delayed by at most twice
 *   this value.
 * @property maxBackoffMs maximum delay between two retries. Nodes must have the newest records 2 s after the store recovers.
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
