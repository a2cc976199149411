package dev.lycheehill.calls.hedging

/** Decides when a hedge, that is, a second concurrent attempt of an idempotent call, is started. Implementations are thread-safe. */
interface HedgePolicy {
    /** Counts a call. Called once per call, before the first attempt. */
    fun onCall(nowNanos: Long)

    /** Returns the time in nanoseconds after the start of the first attempt at which to call [tryHedge], or null for no hedge. */
    fun delayNanos(
        idempotent: Boolean,
        nowNanos: Long,
    ): Long?

    /** Acquires a hedge from the budget. Returns false if no hedge may be started now. */
    fun tryHedge(nowNanos: Long): Boolean

    /** Records the latency of a successful call, measured from the start of the attempt that succeeded. */
    fun onLatency(
        latencyNanos: Long,
        nowNanos: Long,
    )

    /** Records that a target of the service shed a call. */
    fun onShed(nowNanos: Long)
}
