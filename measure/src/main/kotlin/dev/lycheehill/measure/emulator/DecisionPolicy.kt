package dev.lycheehill.measure.emulator

import dev.lycheehill.calls.admission.SlotAdmissionSettings
import dev.lycheehill.calls.balancing.WaitAwareSettings
import dev.lycheehill.node.policy.SlotPolicies

/**
 * The decisions of the nodes under one name.
 *
 * @property avoidsBackendRefusals whether a refusal of a backend server itself counts as a failure in the choice of targets.
 * @property keepsPriorities whether urgent calls go first.
 * @property keepsChildrenFirst whether calls of running requests go first among equals.
 */
data class DecisionPolicy(
    val name: String,
    val admission: SlotAdmissionSettings = SlotAdmissionSettings(),
    val picker: WaitAwareSettings = WaitAwareSettings(),
    val avoidsBackendRefusals: Boolean = true,
    val keepsPriorities: Boolean = true,
    val keepsChildrenFirst: Boolean = true,
    val maxMoves: Int = SlotPolicies.DEFAULT_MAX_MOVES,
    val asksForLate: Boolean = true,
    val budgetPercent: Int = 10,
)
