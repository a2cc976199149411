package dev.lycheehill.platformlog.memory

/**
 * Fault switches of a log.
 *
 * @property outage each call is refused before it takes effect.
 * @property delayMs time that each call waits before it takes effect.
 * @property loseAnswers appends take effect, but their answers are lost.
 * @property maxAppendsPerS appends accepted a second; null means unlimited.
 * @property retainRecords newest records kept in each stream; null means all.
 */
data class LogFaults(
    val outage: Boolean = false,
    val delayMs: Long = 0,
    val loseAnswers: Boolean = false,
    val maxAppendsPerS: Int? = null,
    val retainRecords: Int? = null,
)
