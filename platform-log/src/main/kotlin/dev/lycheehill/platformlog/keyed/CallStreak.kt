package dev.lycheehill.platformlog.keyed

import dev.lycheehill.platformlog.Backoff

/** Outcomes of successive calls to the store for one purpose, and the pause after one that failed. */
class CallStreak(
    private val backoff: Backoff,
) {
    private var failures = 0

    /** Whether the last call failed. */
    val isLost: Boolean get() = failures > 0

    /** A call succeeded. Returns how many had failed before it, since the last success. */
    fun succeeded(): Int = failures.also { failures = 0 }

    /** A call failed. Returns the milliseconds after which it is to be made again. */
    fun failed(): Long = backoff.delayMs(++failures)
}
