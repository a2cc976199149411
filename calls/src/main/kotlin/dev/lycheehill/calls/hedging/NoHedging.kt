package dev.lycheehill.calls.hedging

/** Hedge policy that starts no hedges. Baseline with which the other hedge policies are compared. */
object NoHedging : HedgePolicy {
    override fun onCall(nowNanos: Long) = Unit

    override fun delayNanos(
        idempotent: Boolean,
        nowNanos: Long,
    ): Long? = null

    override fun tryHedge(nowNanos: Long): Boolean = false

    override fun onLatency(
        latencyNanos: Long,
        nowNanos: Long,
    ) = Unit

    override fun onShed(nowNanos: Long) = Unit
}
