package dev.lycheehill.measure.calls

import org.HdrHistogram.Histogram
import java.util.TreeMap

/**
 * Counts the outcomes of the calls of one kind. Latencies are measured from the time at which a call was due, which avoids
 * coordinated omission: calls that a stalled server delays count with their full delay. Not thread-safe.
 */
class LoadTally {
    /** Latencies of successful calls in nanoseconds. */
    val latencies = Histogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS)

    /** Number of calls that were due. */
    var due = 0
        private set

    /** Number of calls with a complete response of status 200. */
    var succeeded = 0
        private set

    /** Number of calls whose connection failed or was closed before a complete response was received. */
    var disconnected = 0
        private set

    /** Returns the given percentile (0 to 100) of the latency of successful calls in milliseconds. */
    fun percentileMs(percentile: Double): Double = latencies.getValueAtPercentile(percentile) / NANOS_PER_MILLI

    /** Share of the due calls that succeeded; 1 if no call was due. */
    val successShare: Double get() = if (due == 0) 1.0 else succeeded.toDouble() / due

    /** Number of responses by status. */
    val statuses = TreeMap<Int, Int>()

    internal fun recordDue() {
        due++
    }

    internal fun recordResponse(
        status: Int,
        latencyNanos: Long,
    ) {
        statuses.merge(status, 1, Int::plus)
        if (status != STATUS_OK) return
        succeeded++
        latencies.recordValue(minOf(latencyNanos, MAX_LATENCY_NANOS))
    }

    internal fun recordDisconnect() {
        disconnected++
    }

    private companion object {
        const val MAX_LATENCY_NANOS = 60_000_000_000L
        const val SIGNIFICANT_DIGITS = 3
        const val NANOS_PER_MILLI = 1_000_000.0
        const val STATUS_OK = 200
    }
}
