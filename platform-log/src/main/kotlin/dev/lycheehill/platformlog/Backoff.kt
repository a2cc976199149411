package dev.lycheehill.platformlog

import kotlin.random.Random

/** Exponential backoff with full jitter, after Brooker 2015. */
class Backoff(
    private val random: Random,
    private val baseMs: Long = 50,
    private val capMs: Long = 1_000,
) {
    /** Returns the wait before attempt number [attempt], counted from 1 for the first retry. */
    fun delayMs(attempt: Int): Long {
        val ceilingMs = minOf(capMs, baseMs shl minOf(attempt, MAX_SHIFT))
        return random.nextLong(ceilingMs + 1)
    }

    private companion object {
        const val MAX_SHIFT = 20
    }
}
