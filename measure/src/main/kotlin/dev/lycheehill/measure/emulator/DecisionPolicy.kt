package dev.lycheehill.measure.emulator

import dev.lycheehill.calls.admission.SlotAdmissionSettings
import dev.lycheehill.calls.balancing.WaitAwareSettings
import dev.lycheehill.node.policy.SlotPolicies

/**
 * The decisions of the nodes under one name.
 *
 * @property countsBackendRefusalsAsFailures whether a refusal of a backend server itself counts as a failure in the choice of targets.
 * @property usesPriorities whether urgent calls go first.
 * @property prioritizesChildCalls whether calls of running requests go first among equals.
 */
data class DecisionPolicy(
    val name: String,
    val admission: SlotAdmissionSettings = SlotAdmissionSettings(),
    val picker: WaitAwareSettings = WaitAwareSettings(),
    val countsBackendRefusalsAsFailures: Boolean = true,
    val usesPriorities: Boolean = true,
    val prioritizesChildCalls: Boolean = true,
    val maxMoves: Int = SlotPolicies.DEFAULT_MAX_MOVES,
    val usesLateQueue: Boolean = true,
    val retryBudgetPercent: Int = 10,
)
