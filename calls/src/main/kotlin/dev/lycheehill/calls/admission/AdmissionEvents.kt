package dev.lycheehill.calls.admission

/** Outcomes of queued calls, collected while a lock is held and delivered to the listeners after its release. Not thread-safe. */
internal class AdmissionEvents(
    private val nowNanos: Long,
) {
    private var calls: ArrayList<AdmissionCall>? = null
    private var rejections: ArrayList<AdmissionResult.Rejected?>? = null

    fun started(call: AdmissionCall) = add(call, null)

    fun dropped(
        call: AdmissionCall,
        rejection: AdmissionResult.Rejected,
    ) = add(call, rejection)

    /**
     * Removes the event that [call] has started. Used when [AdmissionControl.offer] reports the start of [call] with its result, so that
     * the listener is not called as well. Returns false if there is no such event.
     */
    fun withdrawStart(call: AdmissionCall): Boolean {
        val index = calls?.indexOf(call) ?: return false
        if (index < 0 || rejections!![index] != null) return false
        calls!!.removeAt(index)
        rejections!!.removeAt(index)
        return true
    }

    fun deliver() {
        val delivered = calls ?: return
        for (index in delivered.indices) {
            val call = delivered[index]
            val rejection = rejections!![index]
            if (rejection == null) call.listener.onStart(call, nowNanos) else call.listener.onDropped(call, rejection)
        }
    }

    private fun add(
        call: AdmissionCall,
        rejection: AdmissionResult.Rejected?,
    ) {
        calls = (calls ?: ArrayList()).apply { add(call) }
        rejections = (rejections ?: ArrayList()).apply { add(rejection) }
    }
}
