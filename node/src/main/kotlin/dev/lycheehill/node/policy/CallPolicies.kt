package dev.lycheehill.node.policy

import dev.lycheehill.calls.admission.AdmissionControl
import dev.lycheehill.calls.balancing.TargetPicker
import dev.lycheehill.calls.hedging.HedgePolicy
import dev.lycheehill.calls.hedging.LatencyQuantile
import dev.lycheehill.calls.verdict.RetryBudget
import dev.lycheehill.calls.verdict.RetryPolicy
import dev.lycheehill.config.model.Service

/** Factory for the policies that decide about calls. A measurement compares two implementations in one run. */
interface CallPolicies {
    /** Returns a new load balancer for the targets of [service]. [zone] is the zone of this node, [seed] seeds random choices. */
    fun newPicker(
        service: Service,
        zone: String,
        seed: Long,
    ): TargetPicker

    /** Returns a new budget for the retries of one service. */
    fun newRetryBudget(): RetryBudget = RetryBudget()

    /** Returns a new retry policy for the calls to [service]. Each retry is acquired from [budget]. */
    fun newRetryPolicy(
        service: Service,
        budget: RetryBudget,
    ): RetryPolicy

    /**
     * Returns a new policy for hedging slow calls to [service]. The policy records durations in [latency] and reads the delay
     * of hedges from it. [budget] is the retry budget of the service, which hedging may consult.
     */
    fun newHedgePolicy(
        service: Service,
        latency: LatencyQuantile,
        budget: RetryBudget,
    ): HedgePolicy

    /** Returns a new admission control for the target of this node, which has [slots] slots and queues up to [maxQueue] calls. */
    fun newAdmission(
        slots: Int,
        maxQueue: Int,
    ): AdmissionControl
}
