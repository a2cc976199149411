package dev.lycheehill.calls.admission

/** Decides at the target's node which calls its backend server runs. Implementations are thread-safe. */
interface AdmissionControl {
    /** Admits, queues or rejects [call]. */
    fun offer(
        call: AdmissionCall,
        nowNanos: Long,
    ): AdmissionResult

    /** Ends an admitted call. [succeeded] is false when its duration says nothing about the backend server's latency. */
    fun onFinish(
        call: AdmissionCall,
        nowNanos: Long,
        succeeded: Boolean = true,
    )

    /** Removes [call] from the queue when its caller has gone. Returns false if it does not wait any more. */
    fun cancel(
        call: AdmissionCall,
        nowNanos: Long,
    ): Boolean

    /** Drops calls that have waited too long or expired. To be called about every 10 ms while [queued] is not 0. */
    fun onTick(nowNanos: Long)

    /** Changes the number of calls that the backend server can run at a time. */
    fun setSlots(
        slots: Int,
        nowNanos: Long,
    )

    /** Calls that run now. */
    val inFlight: Int

    /** Calls that wait now. */
    val queued: Int
}
