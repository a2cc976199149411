package dev.lycheehill.calls.balancing

/** Settings of outlier ejection. */
data class EjectionSettings(
    /** Number of consecutive failures from which a target is an outlier. */
    val consecutiveFailures: Int = 5,
    /** Multiple of the median latency above which a target is an outlier. */
    val latencyRatio: Double = 5.0,
    /** Least excess of an outlier over the median latency. A round trip between zones (3 ms) must not make a target an outlier. */
    val latencyExcessMs: Double = 3.0,
    /** Number of latency samples from which a target can be an outlier by latency. */
    val minSamples: Int = 10,
    /** Duration of the first ejection; each further ejection doubles it up to [maxEjectionMs]. */
    val baseEjectionMs: Long = 1_000,
    val maxEjectionMs: Long = 30_000,
    /** Time after which an unfinished trial call no longer prevents another trial call. */
    val trialTimeoutMs: Long = 2_000,
    /** Period in which the latencies of all targets are compared. */
    val reviewPeriodMs: Long = 100,
) {
    /** Returns the largest number of ejected targets among [targets]: none below three, one up to five, and otherwise a third. */
    fun maxEjected(targets: Int): Int =
        when {
            targets < 3 -> 0
            targets <= 5 -> 1
            else -> targets / 3
        }

    /** Returns the duration in milliseconds of the ejection number [count], counted from 1. */
    fun durationMs(count: Int): Long = minOf(maxEjectionMs, baseEjectionMs shl (count - 1).coerceIn(0, 20))
}
