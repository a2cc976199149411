package dev.lycheehill.measure.emulator.store

/**
 * Outcome of one emulated return of the store.
 *
 * @property inForceMs time from the acknowledgement of the first new configuration until it is in force on all nodes, in milliseconds; null
 *   if it was not in time.
 * @property recordsBackMs time from the return until all lost records are in the store again, in milliseconds; null if they were not in time.
 * @property calls calls to the store by all nodes within the observed time after the return.
 */
data class RestoreResult(
    val inForceMs: Long?,
    val recordsBackMs: Long?,
    val calls: Int,
)
