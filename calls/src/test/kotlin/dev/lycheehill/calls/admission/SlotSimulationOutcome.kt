package dev.lycheehill.calls.admission

/** Counts of the outcomes of the calls of a [SlotAdmissionSimulation]. */
internal data class SlotSimulationOutcome(
    var finished: Int = 0,
    var inTime: Int = 0,
    var rejected: Int = 0,
    var rejectedAgain: Int = 0,
    var maxWaitBeforeDropMs: Long = 0,
)
