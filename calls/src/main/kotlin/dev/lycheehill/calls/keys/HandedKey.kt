package dev.lycheehill.calls.keys

import kotlinx.serialization.Serializable

/**
 * A key of a hand-over.
 *
 * @property ran whether the request ran; otherwise the request may have run.
 * @property recordedWallMs time on the wall clock at which the key was recorded, in milliseconds.
 */
@Serializable
data class HandedKey(
    val key: KeyHash,
    val ran: Boolean,
    val recordedWallMs: Long,
)
