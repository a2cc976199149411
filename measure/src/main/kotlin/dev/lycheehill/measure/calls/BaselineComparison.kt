package dev.lycheehill.measure.calls

import dev.lycheehill.node.policy.BaselinePolicies
import dev.lycheehill.node.policy.CallPolicies
import dev.lycheehill.node.policy.StandardPolicies

/** Results of the same measurement with the standard policies and with the baseline policies, made in one run. */
internal class BaselineComparison<T>(
    val ours: T,
    val baseline: T,
) {
    companion object {
        /** Calls [run] with the label and the policies of this project, then with those of the baseline. */
        fun <T> measure(run: (String, CallPolicies) -> T): BaselineComparison<T> =
            BaselineComparison(ours = run("ours", StandardPolicies), baseline = run("baseline", BaselinePolicies))
    }
}
