package dev.lycheehill.calls.admission

/** What became of the calls of a [SlotLoad]. */
internal data class SlotLoadOutcome(
    var finished: Int = 0,
    var inTime: Int = 0,
    var refused: Int = 0,
    var refusedAgain: Int = 0,
    var longestHeldBeforeRefusalMs: Long = 0,
)
