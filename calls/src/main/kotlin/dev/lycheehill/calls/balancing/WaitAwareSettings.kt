package dev.lycheehill.calls.balancing

/**
 * Settings of [WaitAwarePicker].
 *
 * @property crossZoneFactor factor by which a target of another zone must be faster; stands for the price of traffic between zones.
 * @property jitterShare largest random addition to an expected time, as a share of the time.
 * @property reportHalfLifeMs half-life of the weight of a load report; demand changes within seconds.
 * @property busyShare share of the slots in use above which calls are expected to wait.
 * @property busyFactor growth of the expected time per unit of the share of slots in use above [busyShare].
 * @property coldFactor factor on the expected time of a target that announced a cold start.
 * @property failureFactor growth of the expected time of a target that fails all calls.
 * @property failureSmoothing weight of the newest response in the failure rate of a target.
 * @property minSilentCalls least number of calls in flight for a target to count as unresponsive; a single call may be long.
 * @property minSilenceMs least time without a response for a target to count as unresponsive, several round trips.
 * @property minSilenceInDurations the same bound in mean durations of a call. The longer of both bounds applies.
 * @property silentFactor factor on the expected time of an unresponsive target.
 * @property initialWindow initial concurrency window of a target, whose node may have just started and be slow at first.
 * @property windowGrowth growth of the window per response. A full window grows by this share of its size in the time of a call.
 * @property maxWindowInSlots largest window, as a multiple of the slots of the target.
 * @property initialBackoffMs time for which a target is left out after its node accepted no connection.
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
    val minSilentCalls: Int = 2,
    val minSilenceMs: Long = 300,
    val minSilenceInDurations: Double = 2.5,
    val silentFactor: Double = 8.0,
    val initialWindow: Double = 3.0,
    val windowGrowth: Double = 0.25,
    val maxWindowInSlots: Int = 2,
    val initialBackoffMs: Long = 250,
    val maxBackoffMs: Long = 2_000,
)
