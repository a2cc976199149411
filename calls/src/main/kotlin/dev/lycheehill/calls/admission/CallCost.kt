package dev.lycheehill.calls.admission

/** Cost class of a call by its expected duration. [LEARNED] leaves the class to the measured durations. */
enum class CallCost { SHORT, LONG, LEARNED }
