package dev.lycheehill.platformlog.keyed

import dev.lycheehill.platformlog.Backoff

/** Counts consecutive failures of calls to the store that serve one purpose, and computes the delay before a retry. */
class CallFailureTracker(
    private val backoff: Backoff,
) {
    private var failures = 0

    /** Whether the last call failed. */
    val isFailing: Boolean get() = failures > 0

    /** Records a successful call. Returns the number of failed calls since the previous success. */
    fun recordSuccess(): Int = failures.also { failures = 0 }

    /** Records a failed call. Returns the delay in milliseconds before the call is retried. */
    fun recordFailure(): Long = backoff.delayMs(++failures)
}
