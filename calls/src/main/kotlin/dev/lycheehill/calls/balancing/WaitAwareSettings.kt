package dev.lycheehill.calls.balancing

/**
 * Settings of [WaitAwarePicker].
 *
 * @property crossZoneFactor factor by which a target of another zone must be faster, because traffic between zones costs money.
 * @property jitterShare largest random addition to an expected time, as a share of the time.
 * @property reportHalfLifeMs half-life of the weight of a load report. Short, because the demand changes within seconds.
 * @property busyShare share of the slots in use above which calls are expected to wait.
 * @property busyFactor the expected time grows by this factor times the share of the slots in use that exceeds [busyShare].
 * @property coldFactor factor on the expected time of a target that announced a cold start.
 * @property failureFactor growth of the expected time by failures: the expected time is multiplied by 1 + failureFactor * failure rate.
 * @property failureSmoothing weight of the newest response in the failure rate of a target.
 * @property minUnansweredCalls least number of calls in flight for a target to count as unresponsive. A single call may simply take
 *   long.
 * @property minSilenceMs least time without a response for a target to count as unresponsive. Covers several round trips.
 * @property minSilenceInDurations the same bound as a multiple of the mean duration of a call. The longer of both bounds applies.
 * @property silentFactor factor on the expected time of an unresponsive target.
 * @property initialWindow initial concurrency window of a target. Small, because the node of the target may have just started and be
 *   slow.
 * @property windowGrowth growth of the window per response. While the window is full, it therefore grows by this share of its size
 *   during the duration of a call.
 * @property maxWindowInSlots largest window, as a multiple of the slots of the target.
 * @property initialBackoffMs backoff of a target after its node accepted no connection. The backoff doubles with each further failure.
 * @property maxBackoffMs longest backoff of a target.
 */
data class WaitAwareSettings(
    val crossZoneFactor: Double = 2.5,
    val jitterShare: Double = 0.15,
    val reportHalfLifeMs: Long = 500,
    val busyShare: Double = 0.75,
    val busyFactor: Double = 2.0,
    val coldFactor: Double = 1.5,
    val failureFactor: Double = 4.0,
    val failureSmoothing: Double = 0.1,
    val minUnansweredCalls: Int = 2,
    val minSilenceMs: Long = 300,
    val minSilenceInDurations: Double = 2.5,
    val silentFactor: Double = 8.0,
    val initialWindow: Double = 3.0,
    val windowGrowth: Double = 0.25,
    val maxWindowInSlots: Int = 2,
    val initialBackoffMs: Long = 250,
    val maxBackoffMs: Long = 2_000,
)
