package dev.lycheehill.calls.verdict

import dev.lycheehill.core.time.NANOS_PER_MILLI

/**
 * Retries of one service on one node: at most [percent] of the calls of the last 10 s, and at least [minRetries] so that a
 * service with few calls can retry at all. Thread-safe.
 */
class RetryBudget(
    private val percent: Int = 10,
    private val minRetries: Int = 3,
) {
    private val calls = IntArray(BUCKETS)
    private val retries = IntArray(BUCKETS)
    private var callSum = 0L
    private var retrySum = 0L
    private var lastBucket = Long.MIN_VALUE

    /** Counts a call, not its retries. */
    @Synchronized
    fun onCall(nowNanos: Long) {
        calls[moveTo(nowNanos)]++
        callSum++
    }

    /** Takes one retry from the budget. Returns false if it is exhausted. */
    @Synchronized
    fun tryAcquire(nowNanos: Long): Boolean {
        val slot = moveTo(nowNanos)
        if (retrySum >= limit()) return false
        retries[slot]++
        retrySum++
        return true
    }

    /** Whether a retry would be refused now. */
    @Synchronized
    fun isExhausted(nowNanos: Long): Boolean {
        moveTo(nowNanos)
        return retrySum >= limit()
    }

    private fun limit(): Long = maxOf(minRetries.toLong(), callSum * percent / 100)

    private fun moveTo(nowNanos: Long): Int {
        val bucket = Math.floorDiv(nowNanos, BUCKET_NANOS)
        if (lastBucket == Long.MIN_VALUE) lastBucket = bucket
        val steps = (bucket - lastBucket).coerceIn(0, BUCKETS.toLong())
        for (step in 1..steps) clear(Math.floorMod(bucket - steps + step, BUCKETS))
        lastBucket = maxOf(lastBucket, bucket)
        return Math.floorMod(lastBucket, BUCKETS)
    }

    private fun clear(slot: Int) {
        callSum -= calls[slot]
        retrySum -= retries[slot]
        calls[slot] = 0
        retries[slot] = 0
    }

    private companion object {
        const val BUCKETS = 10
        const val BUCKET_NANOS = 1_000 * NANOS_PER_MILLI
    }
}
