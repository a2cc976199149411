package dev.lycheehill.node.egress

/**
 * Quantiles of the recent latencies of one service, from a histogram with eight buckets per power of two, so a quantile
 * is at most 12.5% too high. Counts are halved after [HALVING_SAMPLES], so that old latencies fade. Thread-safe.
 */
internal class LatencyQuantiles {
    private val counts = IntArray(BUCKETS)
    private var total = 0
    private var sinceReview = 0

    /** 95th percentile in nanoseconds; null before [MIN_SAMPLES] samples. */
    @Volatile
    var p95Nanos: Long? = null
        private set

    /** 99th percentile in nanoseconds; null before [MIN_SAMPLES] samples. */
    @Volatile
    var p99Nanos: Long? = null
        private set

    /** Adds a latency. */
    @Synchronized
    fun add(nanos: Long) {
        counts[bucketOf(nanos)]++
        total++
        sinceReview++
        if (sinceReview >= REVIEW_SAMPLES && total >= MIN_SAMPLES) review()
        if (total >= HALVING_SAMPLES) halve()
    }

    private fun review() {
        sinceReview = 0
        p95Nanos = quantile(0.95)
        p99Nanos = quantile(0.99)
    }

    private fun halve() {
        total = 0
        for (index in counts.indices) {
            counts[index] = counts[index] / 2
            total += counts[index]
        }
    }

    private fun quantile(share: Double): Long {
        var left = (total * share).toInt()
        for (index in counts.indices) {
            left -= counts[index]
            if (left < 0) return upperEdge(index)
        }
        return upperEdge(BUCKETS - 1)
    }

    private fun bucketOf(nanos: Long): Int {
        val value = maxOf(nanos, SUB_BUCKETS.toLong())
        val exponent = Long.SIZE_BITS - 1 - value.countLeadingZeroBits()
        val sub = (value ushr (exponent - SUB_BITS)).toInt() and (SUB_BUCKETS - 1)
        return minOf((exponent - SUB_BITS) * SUB_BUCKETS + sub, BUCKETS - 1)
    }

    private fun upperEdge(index: Int): Long {
        val exponent = index / SUB_BUCKETS + SUB_BITS
        val sub = index % SUB_BUCKETS + 1L
        return (SUB_BUCKETS + sub) shl (exponent - SUB_BITS)
    }

    private companion object {
        const val SUB_BITS = 3
        const val SUB_BUCKETS = 1 shl SUB_BITS

        // Up to 2^41 ns, above the longest time limit of 600 s.
        const val BUCKETS = 39 * SUB_BUCKETS
        const val MIN_SAMPLES = 50
        const val REVIEW_SAMPLES = 16
        const val HALVING_SAMPLES = 2_000
    }
}
