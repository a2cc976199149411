package dev.lycheehill.calls.admission

/** What became of the calls of a [SlotAdmissionSimulation]. */
internal data class SlotSimulationOutcome(
    var finished: Int = 0,
    var inTime: Int = 0,
    var refused: Int = 0,
    var refusedAgain: Int = 0,
    var longestHeldBeforeRefusalMs: Long = 0,
)
