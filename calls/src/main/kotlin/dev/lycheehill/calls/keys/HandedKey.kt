package dev.lycheehill.calls.keys

import kotlinx.serialization.Serializable

/** One key of a hand-over, with the wall time at which it was recorded. */
@Serializable
data class HandedKey(
    val key: KeyHash,
    val ran: Boolean,
    val recordedWallMs: Long,
)
