package dev.lycheehill.calls.admission

/** Expected duration class of a call. */
enum class CallCost { SHORT, LONG, LEARNED }
