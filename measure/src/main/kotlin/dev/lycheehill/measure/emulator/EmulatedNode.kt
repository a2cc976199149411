package dev.lycheehill.measure.emulator

import dev.lycheehill.calls.balancing.TargetInfo
import dev.lycheehill.calls.balancing.TargetPicker
import dev.lycheehill.calls.balancing.WaitAwarePicker
import dev.lycheehill.calls.verdict.BudgetedRetryPolicy
import dev.lycheehill.calls.verdict.RetryBudget
import dev.lycheehill.calls.verdict.RetryPolicy
import dev.lycheehill.node.policy.SlotPolicies

/** What one node knows as a caller's node. */
internal class EmulatedNode(
    private val fleet: EmulatedFleet,
    val zone: String,
    private val seed: Long,
) {
    /** Choice of targets and retries of one service. */
    class ServiceCallState(
        val picker: TargetPicker,
        val retries: RetryPolicy,
    )

    private val byService = HashMap<String, ServiceCallState>()

    // Changes with each start.
    var incarnation = 0L
        private set

    fun callsTo(service: String): ServiceCallState = byService.getOrPut(service) { newCalls(service) }

    /** Loses all that it knows. */
    fun restart() {
        incarnation++
        byService.clear()
    }

    private fun newCalls(service: String): ServiceCallState {
        val picker = WaitAwarePicker(zone, seed + incarnation, fleet.policy.picker)
        picker.update(fleet.serversOf(service).map { TargetInfo(it.id, it.zone, it.id, it.service.slots) }, fleet.timers.nowNanos())
        val budget = RetryBudget(percent = fleet.policy.retryBudgetPercent, minRetries = SlotPolicies.MIN_RETRIES)
        val retries =
            BudgetedRetryPolicy(
                budget = budget,
                maxMoves = fleet.policy.maxMoves,
                maxDetours = SlotPolicies.DEFAULT_MAX_DETOURS,
                countsChildCalls = false,
            )
        return ServiceCallState(picker, retries)
    }
}
