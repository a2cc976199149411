package dev.lycheehill.measure.emulator

import dev.lycheehill.calls.balancing.TargetInfo
import dev.lycheehill.calls.balancing.TargetPicker
import dev.lycheehill.calls.balancing.WaitAwarePicker
import dev.lycheehill.calls.verdict.BudgetedRetryPolicy
import dev.lycheehill.calls.verdict.RetryBudget
import dev.lycheehill.calls.verdict.RetryPolicy
import dev.lycheehill.node.policy.SlotPolicies

/** A node in [zone] in its role as the caller's node, with its state of target selection and retries. */
internal class EmulatedNode(
    private val fleet: EmulatedFleet,
    val zone: String,
    private val seed: Long,
) {
    /** Target selection and retry policy for one service. */
    class ServiceCallState(
        val picker: TargetPicker,
        val retryPolicy: RetryPolicy,
    )

    private val byService = HashMap<String, ServiceCallState>()

    // Incremented at each restart, so that responses to calls made before the restart are ignored.
    var incarnation = 0L
        private set

    fun callStateOf(service: String): ServiceCallState = byService.getOrPut(service) { newCallState(service) }

    /** Restarts the node, which loses its state. */
    fun restart() {
        incarnation++
        byService.clear()
    }

    private fun newCallState(service: String): ServiceCallState {
        val picker = WaitAwarePicker(zone, seed + incarnation, fleet.policy.picker)
        picker.update(fleet.serversOf(service).map { TargetInfo(it.id, it.zone, it.id, it.service.slots) }, fleet.timers.nowNanos())
        val budget = RetryBudget(percent = fleet.policy.retryBudgetPercent, minRetries = SlotPolicies.MIN_RETRIES)
        val retryPolicy =
            BudgetedRetryPolicy(
                budget = budget,
                maxMoves = fleet.policy.maxMoves,
                maxDetours = SlotPolicies.DEFAULT_MAX_DETOURS,
                countsChildCalls = false,
            )
        return ServiceCallState(picker, retryPolicy)
    }
}
