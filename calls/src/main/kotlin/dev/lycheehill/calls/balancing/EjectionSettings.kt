package dev.lycheehill.calls.balancing

/** Settings of the ejection of outliers. */
data class EjectionSettings(
    val consecutiveFailures: Int = 5,
    /** Multiple of the median latency above which a target is an outlier. */
    val latencyRatio: Double = 5.0,
    /** Least excess over the median: a round trip between zones (3 ms) must not make a target an outlier. */
    val latencyExcessMs: Double = 3.0,
    /** Samples before the latency of a target counts. */
    val minSamples: Int = 10,
    val baseEjectionMs: Long = 1_000,
    val maxEjectionMs: Long = 30_000,
    /** Time after which a trial call that has not ended no longer prevents another one. */
    val trialTimeoutMs: Long = 2_000,
    val reviewPeriodMs: Long = 100,
) {
    /** Largest number of ejected targets among [targets]: a third, but one of three to five, and none of two. */
    fun maxEjected(targets: Int): Int =
        when {
            targets < 3 -> 0
            targets <= 5 -> 1
            else -> targets / 3
        }

    /** Duration of the ejection with the ordinal number [count], from 1. */
    fun durationMs(count: Int): Long = minOf(maxEjectionMs, baseEjectionMs shl (count - 1).coerceIn(0, 20))
}
