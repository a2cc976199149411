package dev.lycheehill.calls.admission

/** Priority of a call, highest first. Under overload, calls of the lowest priority are shed first. */
enum class CallPriority { HIGH, NORMAL, LOW }
