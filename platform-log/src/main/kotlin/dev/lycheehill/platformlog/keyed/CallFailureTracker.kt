package dev.lycheehill.platformlog.keyed

import dev.lycheehill.platformlog.Backoff

/** Outcomes of successive calls to the store for one purpose, and the pause after one that failed. */
class CallFailureTracker(
    private val backoff: Backoff,
) {
    private var failures = 0

    /** Whether the last call failed. */
    val isFailing: Boolean get() = failures > 0

    /** A call succeeded. Returns how many had failed before it, since the last success. */
    fun recordSuccess(): Int = failures.also { failures = 0 }

    /** A call failed. Returns the milliseconds after which it is to be made again. */
    fun recordFailure(): Long = backoff.delayMs(++failures)
}
