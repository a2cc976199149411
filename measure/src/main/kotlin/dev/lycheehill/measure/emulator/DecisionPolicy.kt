package dev.lycheehill.measure.emulator

import dev.lycheehill.calls.admission.SlotAdmissionSettings
import dev.lycheehill.calls.balancing.WaitAwareSettings
import dev.lycheehill.node.policy.SlotPolicies

/**
 * Settings of all decisions that an emulated node makes: admission, target selection and retries.
 *
 * @property countsBackendRefusalsAsFailures whether target selection counts a refusal by a backend server as a failure.
 * @property usesPriorities whether admission considers the priority of a call.
 * @property prioritizesChildCalls whether child calls are admitted before other calls of the same priority.
 * @property maxMoves how often a call may be moved after targets refused it for their load.
 * @property usesLateQueue whether a refused call is sent once more as a late call, before the caller gets the refusal.
 * @property retryBudgetPercent retries that the retry budget allows, in percent of the calls.
 * @property keepsStatedLimits whether the node of a target keeps the limit that the backend server states.
 * @property reportsUsableSlots whether the reported slots of a target follow from that limit.
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
    val keepsStatedLimits: Boolean = true,
    val reportsUsableSlots: Boolean = true,
)
