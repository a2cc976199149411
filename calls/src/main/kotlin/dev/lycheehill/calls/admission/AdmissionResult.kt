package dev.lycheehill.calls.admission

/** Result of [AdmissionControl.offer]. */
sealed interface AdmissionResult {
    /** The call runs now and must be ended with [AdmissionControl.onFinish]. */
    data object Admitted : AdmissionResult

    /** The call is queued. Its [AdmissionListener] receives the outcome. */
    data object Queued : AdmissionResult

    /**
     * The call did not run. The node responds with status 503, the verdict `not run` and the hint.
     *
     * @property retryAfterMs hint when the caller may try again, in milliseconds.
     */
    data class Rejected(
        val reason: RejectReason,
        val retryAfterMs: Long,
    ) : AdmissionResult
}
