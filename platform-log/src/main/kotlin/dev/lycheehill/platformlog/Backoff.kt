package dev.lycheehill.platformlog

import kotlin.random.Random

/**
 * Exponential backoff with full jitter (Brooker 2015): each delay is drawn uniformly between 0 and an exponentially growing
 * ceiling.
 *
 * @param baseMs half of the ceiling of the first retry, in milliseconds. The ceiling doubles with each further retry.
 * @param capMs maximum of the ceiling in milliseconds.
 */
class Backoff(
    private val random: Random,
    private val baseMs: Long = 50,
    private val capMs: Long = 1_000,
) {
    /** Returns the delay in milliseconds before retry number [attempt], counted from 1. */
    fun delayMs(attempt: Int): Long {
        val ceilingMs = minOf(capMs, baseMs shl minOf(attempt, MAX_SHIFT))
        return random.nextLong(ceilingMs + 1)
    }

    private companion object {
        const val MAX_SHIFT = 20
    }
}
