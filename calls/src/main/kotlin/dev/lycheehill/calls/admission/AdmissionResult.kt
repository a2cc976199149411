package dev.lycheehill.calls.admission

/** Answer to [AdmissionControl.offer]. */
sealed interface AdmissionResult {
    /** The call runs now and must be ended with [AdmissionControl.onFinish]. */
    data object Admitted : AdmissionResult

    /** The call waits; its listener is told the outcome. */
    data object Queued : AdmissionResult

    /** The call did not run. It is answered with 503, `not run` and the hint. */
    data class Rejected(
        val reason: RejectReason,
        val retryAfterMs: Long,
    ) : AdmissionResult
}
