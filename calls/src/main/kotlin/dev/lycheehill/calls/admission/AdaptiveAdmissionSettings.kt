package dev.lycheehill.calls.admission

/** Settings of [AdaptiveAdmission]. */
data class AdaptiveAdmissionSettings(
    /** Number of calls that the backend server can run concurrently, until another number is set. */
    val slots: Int,
    /** Maximum number of queued calls. */
    val maxQueue: Int,
    /** Longest wait of a call whose class is not overloaded, and of each call of high priority. */
    val intervalMs: Long = 100,
    /** Longest wait of other calls while their class is overloaded, that is, its queue has not been empty for [intervalMs]. */
    val targetMs: Long = 5,
    /** [targetMs] as a multiple of the mean time between two free slots. The longer limit applies, because some calls take long. */
    val targetInSlotTimes: Double = 4.0,
    /** [intervalMs] as a multiple of the mean time between two free slots. The longer limit applies. */
    val intervalInSlotTimes: Double = 16.0,
    /** Time after the last arrival of a class for which its share of the queue, and of the slots for short calls, stays reserved. */
    val reserveMs: Long = 1_000,
    /** Shortest retry hint to a rejected caller. */
    val minRetryAfterMs: Long = 20,
    /** Longest retry hint to a rejected caller. */
    val maxRetryAfterMs: Long = 5_000,
)
