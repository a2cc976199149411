package dev.lycheehill.node.policy

import dev.lycheehill.calls.admission.AdmissionControl
import dev.lycheehill.calls.admission.SlotAdmission
import dev.lycheehill.calls.admission.SlotAdmissionSettings
import dev.lycheehill.calls.balancing.TargetPicker
import dev.lycheehill.calls.balancing.WaitAwarePicker
import dev.lycheehill.calls.hedging.HedgePolicy
import dev.lycheehill.calls.hedging.LatencyQuantile
import dev.lycheehill.calls.hedging.NoHedging
import dev.lycheehill.calls.verdict.BudgetedRetryPolicy
import dev.lycheehill.calls.verdict.RetryBudget
import dev.lycheehill.calls.verdict.RetryPolicy
import dev.lycheehill.config.model.Service

/**
 * Policies for deployments in which the target's node is the only way to its backend server, whose slots are known, and
 * calls state the time within which an answer has its full value.
 *
 * @param maxMoves how often a call is moved after a target refused it for its load.
 * @param maxDetours how often a call is moved after a target that was not available.
 */
class SlotPolicies(
    private val maxMoves: Int = DEFAULT_MAX_MOVES,
    private val maxDetours: Int = DEFAULT_MAX_DETOURS,
) : CallPolicies {
    override fun newPicker(
        service: Service,
        zone: String,
        seed: Long,
    ): TargetPicker = WaitAwarePicker(zone, seed)

    override fun newRetryBudget(): RetryBudget = RetryBudget(minRetries = MIN_RETRIES)

    override fun newRetryPolicy(
        service: Service,
        budget: RetryBudget,
    ): RetryPolicy = BudgetedRetryPolicy(budget, maxMoves = maxMoves, maxDetours = maxDetours, countsChildCalls = false)

    override fun newHedgePolicy(
        service: Service,
        latency: LatencyQuantile,
        budget: RetryBudget,
    ): HedgePolicy = NoHedging

    override fun newAdmission(
        slots: Int,
        maxQueue: Int,
    ): AdmissionControl = SlotAdmission(SlotAdmissionSettings(slots = slots))

    companion object {
        /** Retries that each node may make in a window in any case; the fleet's budget has a constant part of two or more for each. */
        const val MIN_RETRIES = 2

        /**
         * When the two targets that seemed least loaded refuse, the others seldom have room; another move costs two nodes
         * processor time and bytes between zones, and earns nothing.
         */
        const val DEFAULT_MAX_MOVES = 1

        /** A target that is not available says so at once. */
        const val DEFAULT_MAX_DETOURS = 4
    }
}
