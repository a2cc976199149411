package dev.lycheehill.calls.admission

/**
 * Decides, at the node of a target, which calls the backend server of the target runs and when. Implementations are thread-safe.
 *
 * Times named `nowNanos` are in nanoseconds of the monotonic clock of the node.
 */
interface AdmissionControl {
    /** Admits, queues or rejects [call]. A call may be offered once. */
    fun offer(
        call: AdmissionCall,
        nowNanos: Long,
    ): AdmissionResult

    /**
     * Ends an admitted call. [succeeded] is false if the call failed or was cancelled; its duration then does not count as a latency of
     * the backend server.
     */
    fun onFinish(
        call: AdmissionCall,
        nowNanos: Long,
        succeeded: Boolean = true,
    )

    /**
     * Removes [call] from the queue after the caller has cancelled the call or closed its connection. Returns false if the call is no
     * longer queued.
     */
    fun cancel(
        call: AdmissionCall,
        nowNanos: Long,
    ): Boolean

    /** Drops queued calls that have expired or waited too long. Must be called about every 10 ms while [queued] is not 0. */
    fun onTick(nowNanos: Long)

    /** Sets the number of calls that the backend server can run concurrently. */
    fun setSlots(
        slots: Int,
        nowNanos: Long,
    )

    /** Sets the largest rate at which calls are started, in calls a second; null for no limit. */
    fun setMaxRate(
        callsPerSecond: Double?,
        nowNanos: Long,
    )

    /** Number of calls that run now. */
    val inFlight: Int

    /** Number of calls that are queued now. */
    val queued: Int
}
