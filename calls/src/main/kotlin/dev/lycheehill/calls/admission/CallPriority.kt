package dev.lycheehill.calls.admission

/** Priority of a call. Under overload, later constants are shed first. */
enum class CallPriority { HIGH, NORMAL, LOW }
