package dev.lycheehill.calls.admission

/**
 * Settings of [SlotAdmission].
 *
 * A duration estimate is the exponentially weighted moving average of the durations of a route.
 *
 * @property slots number of calls that the backend server can run concurrently, until the server announces another number.
 * @property initialEstimateMs duration that is assumed until the first call has ended.
 * @property durationSmoothing weight of the newest duration in an estimate. With 0.1, an estimate follows a change within about 20
 *   calls.
 * @property minMarginShare least margin between the expected end and the soft deadline, as a share of the estimated duration. The
 *   margin is needed because durations vary.
 * @property maxMarginShareOfSlack largest margin as a share of the slack, the time left less the estimated duration. The bound
 *   lets a call with a tight soft deadline still wait.
 * @property tailQuantile quantile of the durations of a route. The margin covers durations up to this quantile, because a few calls last
 *   many times longer than the rest.
 * @property responseReturnMs time from the end of the execution until the caller has the response. Covers 3 ms on the network to the
 *   caller, and the processing at two nodes.
 * @property childTimeShare share of the time left that a child call may take to wait and run; the parent needs the rest.
 * @property rejectionSmoothing weight of the newest call in the rejection rate. With 0.02, the rate follows a rise in demand within 50
 *   calls.
 * @property lateTimeShare share of the time left that a late call may take to wait and run. The rest is a margin, because the
 *   expected time is a mean.
 * @property maxLateWaitMs longest wait of a late call. Late calls start after all other calls. A late call is rejected after this
 *   time and may be sent again.
 * @property minRemainingShare share of the estimated duration that must be left until the deadline for a queued call to start.
 * @property minRetryAfterMs shortest retry hint to a rejected caller. Covers about one round trip.
 * @property maxRetryAfterMs longest retry hint to a rejected caller. A peak of the demand is expected to be over after this time.
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
