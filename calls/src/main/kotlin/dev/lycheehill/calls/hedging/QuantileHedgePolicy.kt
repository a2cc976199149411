package dev.lycheehill.calls.hedging

import dev.lycheehill.calls.verdict.RetryBudget
import dev.lycheehill.core.time.NANOS_PER_MILLI

/**
 * Hedges idempotent calls after the 95th percentile of the latency of the service, for at most [hedgePercent] percent of the calls.
 * Starts no hedges while the service sheds load or the [retryBudget] is exhausted.
 */
class QuantileHedgePolicy(
    hedgePercent: Int = 5,
    private val latency: LatencyQuantile = LatencyQuantile(),
    private val retryBudget: RetryBudget? = null,
) : HedgePolicy {
    private val hedgeBudget = RetryBudget(percent = hedgePercent.coerceIn(0, 50), minRetries = 0)

    @Volatile
    private var lastShedNanos = Long.MIN_VALUE

    override fun onCall(nowNanos: Long) = hedgeBudget.onCall(nowNanos)

    override fun delayNanos(
        idempotent: Boolean,
        nowNanos: Long,
    ): Long? = if (idempotent && !isShedding(nowNanos)) latency.p95Nanos?.coerceAtLeast(MIN_DELAY_NANOS) else null

    override fun tryHedge(nowNanos: Long): Boolean =
        !isShedding(nowNanos) && retryBudget?.isExhausted(nowNanos) != true && hedgeBudget.tryAcquire(nowNanos)

    override fun onLatency(
        latencyNanos: Long,
        nowNanos: Long,
    ) = latency.add(latencyNanos, nowNanos)

    override fun onShed(nowNanos: Long) {
        lastShedNanos = nowNanos
    }

    private fun isShedding(nowNanos: Long): Boolean = lastShedNanos != Long.MIN_VALUE && nowNanos - lastShedNanos < SHED_PAUSE_NANOS

    private companion object {
        const val SHED_PAUSE_NANOS = 1_000 * NANOS_PER_MILLI
        const val MIN_DELAY_NANOS = 1 * NANOS_PER_MILLI
    }
}
