package dev.lycheehill.node.policy

import dev.lycheehill.calls.admission.AdaptiveAdmission
import dev.lycheehill.calls.admission.AdaptiveAdmissionSettings
import dev.lycheehill.calls.admission.AdmissionControl
import dev.lycheehill.calls.balancing.LoadAwarePicker
import dev.lycheehill.calls.balancing.TargetPicker
import dev.lycheehill.calls.hedging.HedgePolicy
import dev.lycheehill.calls.hedging.LatencyQuantile
import dev.lycheehill.calls.hedging.QuantileHedgePolicy
import dev.lycheehill.calls.verdict.BudgetedRetryPolicy
import dev.lycheehill.calls.verdict.RetryBudget
import dev.lycheehill.calls.verdict.RetryPolicy
import dev.lycheehill.config.model.Service

/** Default policies, described in section 5 of the design page: load-aware balancing, hedging and adaptive admission. */
object StandardPolicies : CallPolicies {
    override fun newPicker(
        service: Service,
        zone: String,
        seed: Long,
    ): TargetPicker = LoadAwarePicker(zone, seed)

    override fun newRetryPolicy(
        service: Service,
        budget: RetryBudget,
    ): RetryPolicy = BudgetedRetryPolicy(budget)

    override fun newHedgePolicy(
        service: Service,
        latency: LatencyQuantile,
        budget: RetryBudget,
    ): HedgePolicy = QuantileHedgePolicy(service.hedgePercent, latency, budget)

    override fun newAdmission(
        slots: Int,
        maxQueue: Int,
    ): AdmissionControl = AdaptiveAdmission(AdaptiveAdmissionSettings(slots, maxQueue))
}
