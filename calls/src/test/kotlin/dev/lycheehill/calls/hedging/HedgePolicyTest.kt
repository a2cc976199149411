package dev.lycheehill.calls.hedging

import dev.lycheehill.calls.verdict.RetryBudget
import dev.lycheehill.core.time.NANOS_PER_MILLI
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class HedgePolicyTest {
    private fun ms(value: Long) = value * NANOS_PER_MILLI

    private fun trainedPolicy(
        percent: Int = 5,
        retryBudget: RetryBudget? = null,
    ): QuantileHedgePolicy {
        val policy = QuantileHedgePolicy(percent, retryBudget = retryBudget)
        for (index in 1..200L) {
            policy.onCall(ms(index))
            policy.onLatency(ms(index), ms(index))
        }
        return policy
    }

    /** Guards against hedges of calls that may run only once, and against hedges before the latency is known. */
    @Test
    fun `only idempotent calls are hedged, after the 95th percentile`() {
        expectThat(trainedPolicy().delayNanos(idempotent = false, ms(200))).isNull()
        // The quantile is refreshed every 100 ms, so the value of the first 101 samples may still be in use.
        expectThat(trainedPolicy().delayNanos(idempotent = true, ms(200))).isNotNull().isIn(ms(90)..ms(195))
        expectThat(QuantileHedgePolicy().delayNanos(idempotent = true, 0)).isNull()
        expectThat(NoHedging.tryHedge(0)).isFalse()
    }

    /** Guards against hedges that add more load than the share set for the service. */
    @ParameterizedTest
    @CsvSource("0, 0", "5, 50", "50, 500")
    fun `hedges stay within the share of calls`(
        percent: Int,
        expectedHedges: Int,
    ) {
        val policy = QuantileHedgePolicy(percent)
        var hedges = 0
        for (index in 1..1_000L) {
            policy.onCall(ms(index))
            if (policy.tryHedge(ms(index))) hedges++
        }
        expectThat(hedges).isEqualTo(expectedHedges)
    }

    /** Guards against hedges that worsen an overload. */
    @Test
    fun `no hedges are started while the service sheds or the retry budget is exhausted`() {
        val shedding = trainedPolicy()
        shedding.onShed(ms(201))
        expectThat(shedding.tryHedge(ms(300))).isFalse()
        expectThat(shedding.delayNanos(idempotent = true, ms(300))).isNull()
        expectThat(shedding.tryHedge(ms(1_300))).isEqualTo(true)
        val budget = RetryBudget(percent = 10, minRetries = 0)
        expectThat(trainedPolicy(retryBudget = budget).tryHedge(ms(201))).isFalse()
    }

    /** Guards against old latencies that delay hedges and progress checks forever. */
    @Test
    fun `old latencies are forgotten`() {
        val latency = LatencyQuantile()
        for (index in 0 until 100L) latency.add(ms(1_000), ms(index))
        for (index in 0 until 100L) latency.add(ms(10), ms(20_000 + 10 * index))
        expectThat(latency.p99Nanos).isNotNull().isLessThanOrEqualTo(ms(11))
    }
}
