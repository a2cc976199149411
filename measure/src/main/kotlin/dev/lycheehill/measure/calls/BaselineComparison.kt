package dev.lycheehill.measure.calls

import dev.lycheehill.node.policy.BaselinePolicies
import dev.lycheehill.node.policy.CallPolicies
import dev.lycheehill.node.policy.StandardPolicies

/** A figure measured with the policies of the page and with the baseline in one run. */
internal class BaselineComparison<T>(
    val ours: T,
    val baseline: T,
) {
    companion object {
        /** Measures both, one after the other. */
        fun <T> measure(run: (String, CallPolicies) -> T): BaselineComparison<T> =
            BaselineComparison(ours = run("ours", StandardPolicies), baseline = run("baseline", BaselinePolicies))
    }
}
