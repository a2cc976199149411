package dev.lycheehill.calls.keys

/** One key of a hand-over, with the wall time at which it was recorded. */
data class HandedKey(
    val key: KeyHash,
    val ran: Boolean,
    val recordedWallMs: Long,
)
