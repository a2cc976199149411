package dev.lycheehill.measure.emulator

import dev.lycheehill.calls.admission.SlotAdmissionSettings
import dev.lycheehill.calls.balancing.WaitAwareSettings

/**
 * The policies that can be compared: the policy of production nodes, and variants that each disable or change one
 * mechanism. The variant `two-moves` moves a refused call up to twice, which production nodes no longer do.
 */
object DecisionPolicies {
    /** Policy of production nodes. */
    val asBuilt = DecisionPolicy("as-built")

    private val admission = SlotAdmissionSettings()
    private val picker = WaitAwareSettings()

    /** All policies by name, beginning with [asBuilt]. */
    val all: Map<String, DecisionPolicy> =
        listOf(
            asBuilt,
            asBuilt.copy(name = "no-margin", admission = admission.copy(maxMarginShareOfSlack = 0.0)),
            asBuilt.copy(name = "mean-margin", admission = admission.copy(tailQuantile = 0.5)),
            asBuilt.copy(name = "no-late-queue", usesLateQueue = false),
            asBuilt.copy(name = "no-child-share", admission = admission.copy(childTimeShare = 0.4)),
            asBuilt.copy(name = "no-priorities", usesPriorities = false),
            asBuilt.copy(name = "no-children-first", prioritizesChildCalls = false),
            asBuilt.copy(name = "no-refusal-share", admission = admission.copy(rejectionSmoothing = 0.0)),
            asBuilt.copy(name = "refusals-pass", countsBackendRefusalsAsFailures = false),
            asBuilt.copy(name = "no-moves", maxMoves = 0),
            asBuilt.copy(name = "two-moves", maxMoves = 2),
            asBuilt.copy(name = "no-retries", retryBudgetPercent = 0),
            asBuilt.copy(name = "zones-equal", picker = picker.copy(crossZoneFactor = 1.0)),
            asBuilt.copy(name = "no-failure-share", picker = picker.copy(failureFactor = 0.0)),
            asBuilt.copy(name = "no-silence", picker = picker.copy(silentFactor = 1.0)),
            asBuilt.copy(name = "no-window", picker = picker.copy(initialWindow = 1e9, maxWindowInSlots = 1_000_000)),
            asBuilt.copy(name = "no-stated-limits", keepsStatedLimits = false),
            asBuilt.copy(name = "all-slots", reportsUsableSlots = false),
            asBuilt.copy(name = "no-busy-factor", picker = picker.copy(busyFactor = 0.0)),
        ).associateBy { it.name }
}
