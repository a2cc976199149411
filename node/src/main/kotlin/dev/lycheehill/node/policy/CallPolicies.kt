package dev.lycheehill.node.policy

import dev.lycheehill.calls.admission.AdmissionControl
import dev.lycheehill.calls.balancing.TargetPicker
import dev.lycheehill.calls.hedging.HedgePolicy
import dev.lycheehill.calls.hedging.LatencyQuantile
import dev.lycheehill.calls.verdict.RetryBudget
import dev.lycheehill.calls.verdict.RetryPolicy
import dev.lycheehill.config.model.Service

/** Makes the parts that decide about calls. A measurement compares two implementations in one run. */
interface CallPolicies {
    /** Returns a new picker for the targets of [service]; [zone] is that of this node. */
    fun newPicker(
        service: Service,
        zone: String,
        seed: Long,
    ): TargetPicker

    /** Returns a new budget for the retries of one service. */
    fun newRetryBudget(): RetryBudget = RetryBudget()

    /** Returns a new retry policy for the calls to [service], which takes its retries from [budget]. */
    fun newRetryPolicy(
        service: Service,
        budget: RetryBudget,
    ): RetryPolicy

    /** Returns a new policy for second attempts of slow calls to [service]. It adds to [latency] and reads it. */
    fun newHedgePolicy(
        service: Service,
        latency: LatencyQuantile,
        budget: RetryBudget,
    ): HedgePolicy

    /** Returns a new admission control for the target of this node. */
    fun newAdmission(
        slots: Int,
        maxQueue: Int,
    ): AdmissionControl
}
