package dev.lycheehill.calls.hedging

import dev.lycheehill.core.time.NANOS_PER_MILLI
import org.HdrHistogram.Histogram

/**
 * Quantiles of the latency of one service over the last two periods of [periodMs]. Thread-safe.
 *
 * The quantiles are computed once per [refreshMs], so a read costs little.
 */
class LatencyQuantile(
    private val periodMs: Long = 5_000,
    private val refreshMs: Long = 100,
) {
    private var current = newHistogram()
    private var previous = newHistogram()
    private val both = newHistogram()
    private var periodStartNanos = Long.MIN_VALUE
    private var refreshedNanos = Long.MIN_VALUE

    /** 95th percentile in nanoseconds; null with less than [MIN_SAMPLES] samples. */
    @Volatile
    var p95Nanos: Long? = null
        private set

    /** 99th percentile in nanoseconds; null with less than [MIN_SAMPLES] samples. */
    @Volatile
    var p99Nanos: Long? = null
        private set

    /** Adds the latency of one call. */
    @Synchronized
    fun add(
        latencyNanos: Long,
        nowNanos: Long,
    ) {
        if (isOver(periodStartNanos, periodMs, nowNanos)) rotate(nowNanos)
        current.recordValue((latencyNanos / NANOS_PER_MICRO).coerceIn(1, MAX_MICROS))
        if (isOver(refreshedNanos, refreshMs, nowNanos)) refresh(nowNanos)
    }

    private fun rotate(nowNanos: Long) {
        val isStale = periodStartNanos == Long.MIN_VALUE || nowNanos - periodStartNanos >= 2 * periodMs * NANOS_PER_MILLI
        val reused = previous.apply { reset() }
        previous = current
        current = reused
        if (isStale) previous.reset()
        periodStartNanos = nowNanos
    }

    private fun refresh(nowNanos: Long) {
        refreshedNanos = nowNanos
        both.reset()
        both.add(previous)
        both.add(current)
        val isKnown = both.totalCount >= MIN_SAMPLES
        p95Nanos = if (isKnown) both.getValueAtPercentile(95.0) * NANOS_PER_MICRO else null
        p99Nanos = if (isKnown) both.getValueAtPercentile(99.0) * NANOS_PER_MICRO else null
    }

    private fun isOver(
        sinceNanos: Long,
        lengthMs: Long,
        nowNanos: Long,
    ): Boolean = sinceNanos == Long.MIN_VALUE || nowNanos - sinceNanos >= lengthMs * NANOS_PER_MILLI

    companion object {
        /** Samples below which no quantile is given. */
        const val MIN_SAMPLES = 50L
        private const val NANOS_PER_MICRO = 1_000L
        private const val MAX_MICROS = 600_000_000L

        // Two digits keep the error within 1% and each histogram at about 25 KB.
        private fun newHistogram() = Histogram(1, MAX_MICROS, 2)
    }
}
