package dev.lycheehill.platformlog.memory

/**
 * Faults injected into a log.
 *
 * @property outage whether each call fails before it takes effect.
 * @property delayMs delay in milliseconds before each call takes effect.
 * @property loseResponses whether the responses to appends are lost after the appends have taken effect.
 * @property maxAppendsPerS maximum number of appends per second; null means unlimited.
 * @property retainRecords number of newest records retained in each stream; null means all.
 */
data class LogFaults(
    val outage: Boolean = false,
    val delayMs: Long = 0,
    val loseResponses: Boolean = false,
    val maxAppendsPerS: Int? = null,
    val retainRecords: Int? = null,
)
