package dev.lycheehill.measure.fleet

/**
 * Recovery times of a restarted availability zone in milliseconds; infinite if a recovery exceeded the time limit.
 *
 * @property logUpMs recovery time with the log up.
 * @property logDownMs recovery time with the log down.
 * @property baselineMs recovery time of the baseline, with the log up.
 * @property regressions number of times at which the version of a node went back.
 */
data class StormOutcome(
    val logUpMs: Double,
    val logDownMs: Double,
    val baselineMs: Double,
    val regressions: Int,
)
