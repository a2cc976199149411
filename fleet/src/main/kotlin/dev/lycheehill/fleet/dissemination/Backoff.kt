package dev.lycheehill.fleet.dissemination

import kotlin.random.Random

/** Exponential backoff with full jitter: each delay is uniformly distributed between 0 and `min(capMs, baseMs * 2^failures)`. */
internal class Backoff(
    private val random: Random,
    private val baseMs: Long = 100,
    private val capMs: Long = 5_000,
) {
    /** Number of failures since the last success. */
    var failures: Int = 0
        private set

    /** Counts a failure and returns the delay before the next attempt. */
    fun nextDelayMs(): Long {
        val ceilingMs = minOf(capMs, baseMs shl minOf(failures, MAX_SHIFT))
        failures++
        return random.nextLong(ceilingMs + 1)
    }

    /** Resets the number of failures after a success. */
    fun reset() {
        failures = 0
    }

    private companion object {
        const val MAX_SHIFT = 16
    }
}
