package dev.lycheehill.calls.verdict

import dev.lycheehill.core.time.NANOS_PER_MILLI

/**
 * Retry budget of one service on one node over a sliding window of 10 s. The budget is [percent] percent of the calls in the window,
 * and at least [minRetries], so that a service with few calls can retry at all. Thread-safe.
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

    /** Counts a call. Must not be called for retries. */
    @Synchronized
    fun onCall(nowNanos: Long) {
        calls[advanceTo(nowNanos)]++
        callSum++
    }

    /** Acquires one retry from the budget. Returns false if the budget is exhausted. */
    @Synchronized
    fun tryAcquire(nowNanos: Long): Boolean {
        val index = advanceTo(nowNanos)
        if (retrySum >= limit()) return false
        retries[index]++
        retrySum++
        return true
    }

    /** Returns whether [tryAcquire] would return false now. */
    @Synchronized
    fun isExhausted(nowNanos: Long): Boolean {
        advanceTo(nowNanos)
        return retrySum >= limit()
    }

    private fun limit(): Long = maxOf(minRetries.toLong(), callSum * percent / 100)

    private fun advanceTo(nowNanos: Long): Int {
        val bucket = Math.floorDiv(nowNanos, BUCKET_NANOS)
        if (lastBucket == Long.MIN_VALUE) lastBucket = bucket
        val newBuckets = (bucket - lastBucket).coerceIn(0, BUCKETS.toLong())
        for (step in 1..newBuckets) clear(Math.floorMod(bucket - newBuckets + step, BUCKETS))
        lastBucket = maxOf(lastBucket, bucket)
        return Math.floorMod(lastBucket, BUCKETS)
    }

    private fun clear(index: Int) {
        callSum -= calls[index]
        retrySum -= retries[index]
        calls[index] = 0
        retries[index] = 0
    }

    private companion object {
        const val BUCKETS = 10
        const val BUCKET_NANOS = 1_000 * NANOS_PER_MILLI
    }
}
