package dev.lycheehill.calls.admission

internal enum class AdmissionState { NEW, QUEUED, RUNNING, DONE }
