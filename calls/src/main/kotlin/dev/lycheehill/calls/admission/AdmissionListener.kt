package dev.lycheehill.calls.admission

/**
 * Receives the outcome of a call that [AdmissionControl.offer] queued. Exactly one function is called, at most once, on
 * the thread that caused it and outside of all locks; neither is called after a successful [AdmissionControl.cancel].
 */
interface AdmissionListener {
    /** The call may start now and must be ended with [AdmissionControl.onFinish]. */
    fun onStart(
        call: AdmissionCall,
        nowNanos: Long,
    )

    /** The call was dropped from the queue and did not run. */
    fun onDropped(
        call: AdmissionCall,
        rejection: AdmissionResult.Rejected,
    )
}
