package dev.lycheehill.calls.hedging

/** Decides when a second attempt of an idempotent call is started. Implementations are thread-safe. */
interface HedgePolicy {
    /** Counts a call; called once per call, before its first attempt. */
    fun onCall(nowNanos: Long)

    /** Time after the start of the first attempt at which [tryHedge] is asked, or null for no hedge. */
    fun delayNanos(
        idempotent: Boolean,
        nowNanos: Long,
    ): Long?

    /** Takes a hedge from the budget. Returns false if none may be started now. */
    fun tryHedge(nowNanos: Long): Boolean

    /** Records the latency of a call that succeeded, from the start of the attempt that won. */
    fun onLatency(
        latencyNanos: Long,
        nowNanos: Long,
    )

    /** Records that a target of the service shed a call. */
    fun onShed(nowNanos: Long)
}
