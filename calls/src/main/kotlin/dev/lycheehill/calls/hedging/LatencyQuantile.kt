package dev.lycheehill.calls.hedging

import dev.lycheehill.core.time.NANOS_PER_MILLI
import org.HdrHistogram.Histogram

/**
 * Quantiles of the latency of one service over the current and the previous period of [periodMs] milliseconds. Thread-safe.
 *
 * The quantiles are computed at most once per [refreshMs] milliseconds, so that a read is cheap.
 */
class LatencyQuantile(
    private val periodMs: Long = 5_000,
    private val refreshMs: Long = 100,
) {
    private var current = newHistogram()
    private var previous = newHistogram()
    private val merged = newHistogram()
    private var periodStartNanos = Long.MIN_VALUE
    private var lastRefreshNanos = Long.MIN_VALUE

    /** 95th percentile in nanoseconds; null with fewer than [MIN_SAMPLES] samples. */
    @Volatile
    var p95Nanos: Long? = null
        private set

    /** 99th percentile in nanoseconds; null with fewer than [MIN_SAMPLES] samples. */
    @Volatile
    var p99Nanos: Long? = null
        private set

    /** Adds the latency of one call. */
    @Synchronized
    fun add(
        latencyNanos: Long,
        nowNanos: Long,
    ) {
        if (hasElapsed(periodStartNanos, periodMs, nowNanos)) rotate(nowNanos)
        current.recordValue((latencyNanos / NANOS_PER_MICRO).coerceIn(1, MAX_MICROS))
        if (hasElapsed(lastRefreshNanos, refreshMs, nowNanos)) refresh(nowNanos)
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
        lastRefreshNanos = nowNanos
        merged.reset()
        merged.add(previous)
        merged.add(current)
        val isKnown = merged.totalCount >= MIN_SAMPLES
        p95Nanos = if (isKnown) merged.getValueAtPercentile(95.0) * NANOS_PER_MICRO else null
        p99Nanos = if (isKnown) merged.getValueAtPercentile(99.0) * NANOS_PER_MICRO else null
    }

    private fun hasElapsed(
        sinceNanos: Long,
        lengthMs: Long,
        nowNanos: Long,
    ): Boolean = sinceNanos == Long.MIN_VALUE || nowNanos - sinceNanos >= lengthMs * NANOS_PER_MILLI

    companion object {
        /** Least number of samples for which quantiles are computed. */
        const val MIN_SAMPLES = 50L
        private const val NANOS_PER_MICRO = 1_000L
        private const val MAX_MICROS = 600_000_000L

        // Two significant digits bound the error to 1% and the size of a histogram to about 25 KB.
        private fun newHistogram() = Histogram(1, MAX_MICROS, 2)
    }
}
