package dev.lycheehill.measure.calls

import org.HdrHistogram.Histogram
import java.util.TreeMap

/**
 * Outcomes of the calls of one kind. Latencies count from the time at which a call was due, so a stalled server does not
 * hide the calls that it delayed. Used on one thread at a time.
 */
class LoadTally {
    /** Latencies of successful calls in nanoseconds. */
    val latencies = Histogram(HIGHEST_NANOS, DIGITS)

    /** Calls that were due. */
    var due = 0
        private set

    /** Calls with a whole response of status 200. */
    var succeeded = 0
        private set

    /** Calls whose connection ended before a whole response. */
    var cut = 0
        private set

    /** Returns a percentile of the latency of successful calls in milliseconds. */
    fun percentileMs(percentile: Double): Double = latencies.getValueAtPercentile(percentile) / NANOS_PER_MILLI

    /** Share of the due calls that succeeded. */
    val successShare: Double get() = if (due == 0) 1.0 else succeeded.toDouble() / due

    /** Number of responses by status. */
    val statuses = TreeMap<Int, Int>()

    internal fun due() {
        due++
    }

    internal fun answered(
        status: Int,
        latencyNanos: Long,
    ) {
        statuses.merge(status, 1, Int::plus)
        if (status != OK) return
        succeeded++
        latencies.recordValue(minOf(latencyNanos, HIGHEST_NANOS))
    }

    internal fun cut() {
        cut++
    }

    private companion object {
        const val HIGHEST_NANOS = 60_000_000_000L
        const val DIGITS = 3
        const val NANOS_PER_MILLI = 1_000_000.0
        const val OK = 200
    }
}
