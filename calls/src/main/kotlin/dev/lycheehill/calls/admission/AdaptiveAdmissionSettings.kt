package dev.lycheehill.calls.admission

/** Settings of [AdaptiveAdmission]. */
data class AdaptiveAdmissionSettings(
    val slots: Int,
    val maxQueue: Int,
    /** Longest wait of a call while the queue was empty within the last [intervalMs]; also the limit of high priority. */
    val intervalMs: Long = 100,
    /** Longest wait while the queue has not been empty for [intervalMs]. */
    val targetMs: Long = 5,
    /** Longest waits as multiples of the mean time between two free slots, for backend servers with long calls. */
    val targetInSlotTimes: Double = 4.0,
    val intervalInSlotTimes: Double = 16.0,
    /** Time after the last short call for which slots stay reserved for short calls. */
    val reserveMs: Long = 1_000,
    val minRetryAfterMs: Long = 20,
    val maxRetryAfterMs: Long = 5_000,
)
