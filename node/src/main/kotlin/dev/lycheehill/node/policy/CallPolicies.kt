package dev.lycheehill.node.policy

import dev.lycheehill.calls.admission.AdmissionControl
import dev.lycheehill.calls.balancing.TargetPicker
import dev.lycheehill.calls.verdict.RetryPolicy
import dev.lycheehill.config.model.Service

/** Makes the parts that decide about calls. A measurement compares two implementations in one run. */
interface CallPolicies {
    /** Whether slow idempotent calls get a second attempt. */
    val hedges: Boolean

    /** Returns a new picker for the targets of [service]; [zone] is that of this node. */
    fun newPicker(
        service: Service,
        zone: String,
        seed: Long,
    ): TargetPicker

    /** Returns a new retry policy for the calls to [service]. */
    fun newRetryPolicy(service: Service): RetryPolicy

    /** Returns a new admission control for the target of this node. */
    fun newAdmission(
        slots: Int,
        maxQueue: Int,
    ): AdmissionControl
}
