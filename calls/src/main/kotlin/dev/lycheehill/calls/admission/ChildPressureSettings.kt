package dev.lycheehill.calls.admission

/**
 * Settings of [ChildPressure].
 *
 * @property periodMs time between two reviews, about the duration of a call.
 * @property toleratedShare share of refused calls below which more is admitted again.
 * @property decrease part of the refused share by which the admitted share falls in one review.
 * @property increase rise of the admitted share in one review without refusals; a full recovery takes about 4 s.
 * @property leastAdmitted share that is always admitted, so that a recovery is noticed.
 */
data class ChildPressureSettings(
    val periodMs: Long = 200,
    val toleratedShare: Double = 0.02,
    val decrease: Double = 0.5,
    val increase: Double = 0.05,
    val leastAdmitted: Double = 0.2,
)
