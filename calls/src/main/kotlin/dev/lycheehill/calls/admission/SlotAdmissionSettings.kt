package dev.lycheehill.calls.admission

/**
 * Settings of [SlotAdmission].
 *
 * @property slots calls that the backend server can run at a time, until it says otherwise.
 * @property initialEstimateMs duration of a call of which none has ended yet, in the middle of the durations of the sites.
 * @property durationSmoothing weight of the newest duration in an estimate; 0.1 follows a change within about 20 calls.
 * @property minMarginShare share of the usual duration that is left between the expected end and the aim, as durations vary.
 * @property maxMarginShareOfSlack largest part of the time left beside the usual duration that the margin takes, so that a call with a
 *   tight aim may still wait.
 * @property tailQuantile share of the calls whose durations the margin covers; few calls last many times longer than the rest.
 * @property responseReturnMs time from the end of a run until the caller has the answer: 3 ms to a caller, two nodes on the way.
 * @property childTimeShare share of the time left that the wait and the run of a child call may take; its parent needs the rest.
 * @property rejectionSmoothing weight of the newest call in the share of refused calls; 0.02 follows a crest within 50 calls.
 * @property lateTimeShare share of the time left that the wait and the run of a late call may take, as the estimate is a mean.
 * @property maxLateWaitMs longest wait of a late call, which other calls overtake; then it is refused and may come back.
 * @property minRemainingShare share of the usual duration that must be left for a queued call to be started.
 * @property minRetryAfterMs shortest hint to a refused caller, about one round trip.
 * @property maxRetryAfterMs longest hint, about the period in which the demand of the sites falls from its crest.
 */
data class SlotAdmissionSettings(
    val slots: Int = 1,
    val initialEstimateMs: Long = 50,
    val durationSmoothing: Double = 0.1,
    val minMarginShare: Double = 0.7,
    val maxMarginShareOfSlack: Double = 0.75,
    val tailQuantile: Double = 0.95,
    val responseReturnMs: Long = 12,
    val childTimeShare: Double = 0.7,
    val rejectionSmoothing: Double = 0.02,
    val lateTimeShare: Double = 0.7,
    val maxLateWaitMs: Long = 25,
    val minRemainingShare: Double = 0.5,
    val minRetryAfterMs: Long = 50,
    val maxRetryAfterMs: Long = 2_000,
)
