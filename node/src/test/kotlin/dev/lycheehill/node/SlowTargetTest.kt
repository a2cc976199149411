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
import dev.lycheehill.standins.backend.RunCounts
import dev.lycheehill.standins.backend.ServiceTimeDistribution
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo

class SlowTargetTest {
    private val backend = BackendSettings(shortCalls = ServiceTimeDistribution(4.0, 5.0))

    // Round robin continues to send calls to the slow target, whereas the load-aware picker would avoid it.
    private val hedgingRoundRobin =
        object : CallPolicies by BaselinePolicies {
            override fun newHedgePolicy(
                service: Service,
                latency: LatencyQuantile,
                budget: RetryBudget,
            ): HedgePolicy = QuantileHedgePolicy(service.hedgePercent, latency, budget)
        }

    /** Guards against hedges that multiply the load: more than one hedge per call, or a slower attempt that continues to run. */
    @Test
    fun `a slow idempotent call is hedged once and the slower attempt is cancelled`() {
        TestMesh(targets = 2, backendSettings = backend, policies = hedgingRoundRobin).use { mesh ->
            mesh.newClient().use { client ->
                learnLatency(client)
                mesh.backends[0].slowFactor = 500.0
                val responses = List(4) { client.call("GET", "/orders", mapOf(BackendHeaders.REQUEST_KEY to "slow-$it")) }
                expectThat(responses.map { it.verdict }).all { isEqualTo("ran") }
            }
            val slow = mesh.runs.all().filterKeys { it.startsWith("slow-") }
            expectThat(slow.values.sumOf { it.cancelled }).isGreaterThan(0)
            expectThat(slow.values.maxOf { it.started }).isLessThanOrEqualTo(2)
        }
    }

    /** Guards against a duplicate execution by a hedge. */
    @Test
    fun `a non-idempotent call is never hedged`() {
        TestMesh(targets = 2, backendSettings = backend, policies = hedgingRoundRobin).use { mesh ->
            mesh.newClient().use { client ->
                learnLatency(client)
                mesh.backends.forEach { it.slowFactor = 50.0 }
                repeat(4) { client.call("POST", "/orders", mapOf(BackendHeaders.REQUEST_KEY to "post-$it")) }
            }
            val posts = mesh.runs.all().filterKeys { it.startsWith("post-") }
            expectThat(posts.values).all { isEqualTo(RunCounts(started = 1, finished = 1)) }
        }
    }

    /** Guards against a dead connection that holds up a call until its deadline. */
    @Test
    fun `an idempotent call on a silent connection is retried at another target long before its deadline`() {
        TestMesh(targets = 2, backendSettings = backend, policies = StandardPolicies).use { mesh ->
            mesh.newClient().use { client ->
                learnLatency(client)
                mesh.backends[0].fault = BackendFault.SILENT
                val responses = List(4) { client.call("GET", "/orders") }
                expectThat(responses.map { it.verdict }).all { isEqualTo("ran") }
            }
        }
    }

    // Makes more than the 64 calls after which the 95th percentile of the latency is known.
    private fun learnLatency(client: RawClient) = repeat(70) { client.call("GET", "/orders") }
}
