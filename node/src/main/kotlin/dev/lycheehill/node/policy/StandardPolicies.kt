package dev.lycheehill.node.policy

import dev.lycheehill.calls.admission.AdaptiveAdmission
import dev.lycheehill.calls.admission.AdmissionControl
import dev.lycheehill.calls.admission.AdmissionSettings
import dev.lycheehill.calls.balancing.LoadAwarePicker
import dev.lycheehill.calls.balancing.TargetPicker
import dev.lycheehill.calls.verdict.BudgetedRetryPolicy
import dev.lycheehill.calls.verdict.RetryPolicy
import dev.lycheehill.config.model.Service

/** The policies of section 5 of the design page. */
object StandardPolicies : CallPolicies {
    override val hedges: Boolean = true

    override fun newPicker(
        service: Service,
        zone: String,
        seed: Long,
    ): TargetPicker = LoadAwarePicker(zone, seed)

    override fun newRetryPolicy(service: Service): RetryPolicy = BudgetedRetryPolicy()

    override fun newAdmission(
        slots: Int,
        maxQueue: Int,
    ): AdmissionControl = AdaptiveAdmission(AdmissionSettings(slots, maxQueue))
}
