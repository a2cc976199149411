package dev.lycheehill.node.policy

import dev.lycheehill.calls.admission.AdmissionControl
import dev.lycheehill.calls.admission.NoLimitAdmission
import dev.lycheehill.calls.balancing.RoundRobinPicker
import dev.lycheehill.calls.balancing.TargetPicker
import dev.lycheehill.calls.verdict.BudgetedRetryPolicy
import dev.lycheehill.calls.verdict.RetryPolicy
import dev.lycheehill.config.model.Service

/** Round robin, no limits and no hedging, for comparison. */
object BaselinePolicies : CallPolicies {
    override val hedges: Boolean = false

    override fun newPicker(
        service: Service,
        zone: String,
        seed: Long,
    ): TargetPicker = RoundRobinPicker()

    override fun newRetryPolicy(service: Service): RetryPolicy = BudgetedRetryPolicy()

    override fun newAdmission(
        slots: Int,
        maxQueue: Int,
    ): AdmissionControl = NoLimitAdmission()
}
