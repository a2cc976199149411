package dev.lycheehill.calls.balancing

/**
 * Settings of [WaitAwarePicker].
 *
 * @property crossZoneFactor factor by which a target of another zone must be faster; the price of the bytes between zones.
 * @property jitterShare largest random part of an expected time.
 * @property reportHalfLifeMs time in which a report of load loses half of its weight; demand swings within seconds.
 * @property busyShare share of the slots above which calls are expected to wait.
 * @property busyFactor growth of the expected time for each target's worth of slots above [busyShare].
 * @property coldFactor factor for a target that announced a cold start.
 * @property failureFactor growth of the expected time of a target that fails all of its calls.
 * @property failureSmoothing weight of the newest answer in the share of failures.
 * @property minSilentCalls calls without any answer from which a target is taken to have fallen silent; a single one may be long.
 * @property minSilenceMs least time without an answer for that, several round trips.
 * @property minSilenceInDurations the same in usual durations of a call.
 * @property silentFactor factor for a target that has fallen silent.
 * @property initialWindow calls that a node keeps at a target whose node has just started and is slow at first.
 * @property windowGrowth growth of that number with each answer: by a quarter in the time of a call.
 * @property maxWindowInSlots largest such number, in slots of the target.
 * @property initialBackoffMs time for which a target is left out after its node accepted no connection.
 * @property maxBackoffMs longest such time.
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
