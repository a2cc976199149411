package dev.lycheehill.measure.fleet

/** Times until all nodes of a restarted zone were served, in milliseconds; infinite when the wait ended before. */
data class StormOutcome(
    val logUpMs: Double,
    val logDownMs: Double,
    val baselineMs: Double,
    val regressions: Int,
)
