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
 * Policies for deployments that meet three conditions: each backend server gets calls only through the node beside it, the
 * slots of each backend server are known, and calls state an aim, the time within which a response has its full value.
 *
 * @param maxMoves how often a call may be sent to another target after a target refused it because of its load.
 * @param maxDetours how often a call may be sent to another target after a target that was not available.
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
        /**
         * Number of retries that each node may make in a window, however few calls it has. The retry budget of the fleet has
         * a constant part of at least two retries for each node.
         */
        const val MIN_RETRIES = 2

        /**
         * Default limit of moves. When the two targets with the lowest estimated load refuse a call, the others seldom have a
         * free slot. Another move would cost processor time on two nodes and bytes between zones without a benefit.
         */
        const val DEFAULT_MAX_MOVES = 1

        /** Default limit of detours. Several are affordable, because a target that is not available refuses at once. */
        const val DEFAULT_MAX_DETOURS = 4
    }
}
