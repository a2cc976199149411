package dev.lycheehill.calls.admission

/**
 * Receives the outcome of a call that [AdmissionControl.offer] has queued.
 *
 * Either [onStart] or [onDropped] is called, once, on the thread that caused the outcome and outside all locks. Neither is
 * called after a successful [AdmissionControl.cancel].
 */
interface AdmissionListener {
    /** Tells that [call] may start now. The call must be ended with [AdmissionControl.onFinish]. */
    fun onStart(
        call: AdmissionCall,
        nowNanos: Long,
    )

    /** Tells that [call] was dropped from the queue and did not run. */
    fun onDropped(
        call: AdmissionCall,
        rejection: AdmissionResult.Rejected,
    )
}
