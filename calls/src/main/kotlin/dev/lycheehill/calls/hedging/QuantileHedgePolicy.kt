package dev.lycheehill.calls.hedging

import dev.lycheehill.calls.verdict.RetryBudget
import dev.lycheehill.core.time.NANOS_PER_MILLI

/**
 * Hedges idempotent calls after the p95 of the service's latency, for at most [hedgePercent] of the calls, and not while
 * the service sheds load or has used up its [retryBudget].
 */
class QuantileHedgePolicy(
    hedgePercent: Int = 5,
    private val latency: LatencyQuantile = LatencyQuantile(),
    private val retryBudget: RetryBudget? = null,
) : HedgePolicy {
    private val hedges = RetryBudget(percent = hedgePercent.coerceIn(0, 50), minRetries = 0)

    @Volatile
    private var shedNanos = Long.MIN_VALUE

    override fun onCall(nowNanos: Long) = hedges.onCall(nowNanos)

    override fun delayNanos(
        idempotent: Boolean,
        nowNanos: Long,
    ): Long? = if (idempotent && !isShedding(nowNanos)) latency.p95Nanos?.coerceAtLeast(MIN_DELAY_NANOS) else null

    override fun tryHedge(nowNanos: Long): Boolean =
        !isShedding(nowNanos) && retryBudget?.isExhausted(nowNanos) != true && hedges.tryAcquire(nowNanos)

    override fun onLatency(
        latencyNanos: Long,
        nowNanos: Long,
    ) = latency.add(latencyNanos, nowNanos)

    override fun onShed(nowNanos: Long) {
        shedNanos = nowNanos
    }

    private fun isShedding(nowNanos: Long): Boolean = shedNanos != Long.MIN_VALUE && nowNanos - shedNanos < SHED_NANOS

    private companion object {
        const val SHED_NANOS = 1_000 * NANOS_PER_MILLI
        const val MIN_DELAY_NANOS = 1 * NANOS_PER_MILLI
    }
}
