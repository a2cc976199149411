package dev.lycheehill.node.egress

import dev.lycheehill.calls.hedging.LatencyQuantile
import dev.lycheehill.config.model.Service
import dev.lycheehill.node.policy.CallPolicies
import java.util.concurrent.ConcurrentHashMap

/** The services that this node calls. An entry is made on the first call and dropped when it is unused. Thread-safe. */
internal class ServiceTable(
    private val policies: CallPolicies,
    private val zone: String,
    private val seed: Long,
) {
    private val byName = ConcurrentHashMap<String, ServiceCallState>()

    /** Returns the state of calls to [service]. */
    fun of(service: Service): ServiceCallState = byName[service.name] ?: byName.computeIfAbsent(service.name) { create(service) }

    /** Drops the services without a call in the last [unusedNanos]. */
    fun dropUnused(
        nowNanos: Long,
        unusedNanos: Long,
    ) {
        byName.values.removeIf { nowNanos - it.lastUsedNanos > unusedNanos }
    }

    private fun create(service: Service): ServiceCallState {
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
