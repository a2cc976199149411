package dev.lycheehill.node.policy

import dev.lycheehill.calls.admission.AdmissionControl
import dev.lycheehill.calls.admission.NoLimitAdmission
import dev.lycheehill.calls.balancing.RoundRobinPicker
import dev.lycheehill.calls.balancing.TargetPicker
import dev.lycheehill.calls.hedging.HedgePolicy
import dev.lycheehill.calls.hedging.LatencyQuantile
import dev.lycheehill.calls.hedging.NoHedging
import dev.lycheehill.calls.verdict.BudgetedRetryPolicy
import dev.lycheehill.calls.verdict.RetryBudget
import dev.lycheehill.calls.verdict.RetryPolicy
import dev.lycheehill.config.model.Service

/** Baseline for comparison: round-robin balancing and budgeted retries, without hedging and without an admission limit. */
object BaselinePolicies : CallPolicies {
    override fun newPicker(
        service: Service,
        zone: String,
        seed: Long,
    ): TargetPicker = RoundRobinPicker()

    override fun newRetryPolicy(
        service: Service,
        budget: RetryBudget,
    ): RetryPolicy = BudgetedRetryPolicy(budget)

    override fun newHedgePolicy(
        service: Service,
        latency: LatencyQuantile,
        budget: RetryBudget,
    ): HedgePolicy = NoHedging

    override fun newAdmission(
        slots: Int,
        maxQueue: Int,
    ): AdmissionControl = NoLimitAdmission()
}
