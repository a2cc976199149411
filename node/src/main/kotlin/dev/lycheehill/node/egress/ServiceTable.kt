package dev.lycheehill.node.egress

import dev.lycheehill.calls.hedging.LatencyQuantile
import dev.lycheehill.config.model.Service
import dev.lycheehill.node.policy.CallPolicies
import java.util.concurrent.ConcurrentHashMap

/** Call states of the services that this node calls. An entry is created on the first call and removed when unused. Thread-safe. */
internal class ServiceTable(
    private val policies: CallPolicies,
    private val zone: String,
    private val seed: Long,
) {
    private val statesByService = ConcurrentHashMap<String, ServiceCallState>()

    /** Returns the state of the calls to [service]. */
    fun of(service: Service): ServiceCallState =
        statesByService[service.name] ?: statesByService.computeIfAbsent(service.name) { newState(service) }

    /** Removes the services without a call in the last [unusedNanos]. */
    fun dropUnused(
        nowNanos: Long,
        unusedNanos: Long,
    ) {
        statesByService.values.removeIf { nowNanos - it.lastUsedNanos > unusedNanos }
    }

    private fun newState(service: Service): ServiceCallState {
        val latency = LatencyQuantile()
        val budget = policies.newRetryBudget()
        return ServiceCallState(
            picker = policies.newPicker(service, zone, seed xor service.name.hashCode().toLong()),
            retryPolicy = policies.newRetryPolicy(service, budget),
            hedgePolicy = policies.newHedgePolicy(service, latency, budget),
            latency = latency,
        )
    }
}
