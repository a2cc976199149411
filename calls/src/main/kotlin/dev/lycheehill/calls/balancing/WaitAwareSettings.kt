package dev.lycheehill.calls.balancing

/**
 * Settings of [WaitAwarePicker].
 *
 * @property otherZoneFactor factor by which a target of another zone must be faster; the price of the bytes between zones.
 * @property spread largest random part of an expected time.
 * @property reportHalfLifeMs time in which a report of load loses half of its weight; demand swings within seconds.
 * @property busyShare share of the slots above which calls are expected to wait.
 * @property busyFactor growth of the expected time for each target's worth of slots above [busyShare].
 * @property coldFactor factor for a target that announced a cold start.
 * @property failureFactor growth of the expected time of a target that fails all of its calls.
 * @property failureSmoothing weight of the newest answer in the share of failures.
 * @property silentCalls calls without any answer from which a target is taken to have fallen silent; a single one may be long.
 * @property silentAfterMs least time without an answer for that, several round trips.
 * @property silentDurations the same in usual durations of a call.
 * @property silentFactor factor for a target that has fallen silent.
 * @property firstWindow calls that a node keeps at a target whose node has just started and is slow at first.
 * @property windowGrowth growth of that number with each answer: by a quarter in the time of a call.
 * @property windowSlots largest such number, in slots of the target.
 * @property firstDownMs time for which a target is left out after its node accepted no connection.
 * @property maxDownMs longest such time.
 */
data class WaitAwareSettings(
    val otherZoneFactor: Double = 2.5,
    val spread: Double = 0.15,
    val reportHalfLifeMs: Long = 500,
    val busyShare: Double = 0.75,
    val busyFactor: Double = 2.0,
    val coldFactor: Double = 1.5,
    val failureFactor: Double = 4.0,
    val failureSmoothing: Double = 0.1,
    val silentCalls: Int = 2,
    val silentAfterMs: Long = 300,
    val silentDurations: Double = 2.5,
    val silentFactor: Double = 8.0,
    val firstWindow: Double = 3.0,
    val windowGrowth: Double = 0.25,
    val windowSlots: Int = 2,
    val firstDownMs: Long = 250,
    val maxDownMs: Long = 2_000,
)
