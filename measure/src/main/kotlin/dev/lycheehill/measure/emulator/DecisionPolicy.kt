package dev.lycheehill.measure.emulator

import dev.lycheehill.calls.admission.ChildPressureSettings
import dev.lycheehill.calls.admission.SlotAdmissionSettings
import dev.lycheehill.calls.balancing.WaitAwareSettings

/**
 * The decisions of the nodes under one name.
 *
 * @property childPressure settings of the reduction of routes whose calls are refused, or null for none.
 * @property countsBackendRefusals whether refusals of a backend server itself count for that.
 * @property avoidsBackendRefusals whether such a refusal counts as a failure in the choice of targets.
 * @property keepsPriorities whether urgent calls go first.
 * @property keepsChildrenFirst whether calls of running requests go first among equals.
 */
data class DecisionPolicy(
    val name: String,
    val admission: SlotAdmissionSettings = SlotAdmissionSettings(),
    val picker: WaitAwareSettings = WaitAwareSettings(),
    val childPressure: ChildPressureSettings? = ChildPressureSettings(),
    val countsBackendRefusals: Boolean = false,
    val avoidsBackendRefusals: Boolean = true,
    val keepsPriorities: Boolean = true,
    val keepsChildrenFirst: Boolean = true,
    val maxMoves: Int = 2,
    val asksForLate: Boolean = true,
    val budgetPercent: Int = 10,
)
