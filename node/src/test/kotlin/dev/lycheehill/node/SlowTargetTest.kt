package dev.lycheehill.node

import dev.lycheehill.calls.hedging.HedgePolicy
import dev.lycheehill.calls.hedging.LatencyQuantile
import dev.lycheehill.calls.hedging.QuantileHedgePolicy
import dev.lycheehill.calls.verdict.RetryBudget
import dev.lycheehill.config.model.Service
import dev.lycheehill.node.policy.BaselinePolicies
import dev.lycheehill.node.policy.CallPolicies
import dev.lycheehill.node.policy.StandardPolicies
import dev.lycheehill.standins.backend.BackendFault
import dev.lycheehill.standins.backend.BackendHeaders
import dev.lycheehill.standins.backend.BackendSettings
import dev.lycheehill.standins.backend.RunRecord
import dev.lycheehill.standins.backend.ServiceTime
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

class SlowTargetTest {
    private val backend = BackendSettings(shortCalls = ServiceTime(4.0, 5.0))

    // Round robin keeps sending calls to the slow target, which the load-aware picker would avoid.
    private val hedgingRoundRobin =
        object : CallPolicies by BaselinePolicies {
            override fun newHedgePolicy(
                service: Service,
                latency: LatencyQuantile,
                budget: RetryBudget,
            ): HedgePolicy = QuantileHedgePolicy(service.hedgePercent, latency, budget)
        }

    @Test
    fun `a slow idempotent call gets one second attempt and the losing attempt is cancelled`() {
        TestMesh(targets = 2, backendSettings = backend, policies = hedgingRoundRobin).use { mesh ->
            mesh.caller().use { client ->
                learn(client)
                mesh.backends[0].slowFactor = 500.0
                val responses = List(4) { client.call("GET", "/orders", mapOf(BackendHeaders.REQUEST_KEY to "slow-$it")) }
                expectThat(responses.map { it.verdict }).all { isEqualTo("ran") }
            }
            val slow = mesh.runs.all().filterKeys { it.startsWith("slow-") }
            expectThat(slow.values.sumOf { it.cancelled }).isGreaterThan(0)
            expectThat(slow.values.maxOf { it.started }).isLessThanOrEqualTo(2)
        }
    }

    @Test
    fun `a non-idempotent call gets no second attempt however slow it is`() {
        TestMesh(targets = 2, backendSettings = backend, policies = hedgingRoundRobin).use { mesh ->
            mesh.caller().use { client ->
                learn(client)
                mesh.backends.forEach { it.slowFactor = 50.0 }
                repeat(4) { client.call("POST", "/orders", mapOf(BackendHeaders.REQUEST_KEY to "post-$it")) }
            }
            val posts = mesh.runs.all().filterKeys { it.startsWith("post-") }
            expectThat(posts.values).all { isEqualTo(RunRecord(started = 1, finished = 1)) }
        }
    }

    @Test
    fun `a silent connection ends an idempotent call long before its time limit and the call runs elsewhere`() {
        TestMesh(targets = 2, backendSettings = backend, policies = StandardPolicies).use { mesh ->
            mesh.caller().use { client ->
                learn(client)
                mesh.backends[0].fault = BackendFault.SILENT
                val responses = List(4) { client.call("GET", "/orders") }
                expectThat(responses.map { it.verdict }).all { isEqualTo("ran") }
            }
        }
    }

    // The 95th percentile is known after 64 calls.
    private fun learn(client: RawClient) = repeat(70) { client.call("GET", "/orders") }
}
