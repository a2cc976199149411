package dev.lycheehill.calls.keys

import kotlinx.serialization.Serializable

/**
 * An idempotency key in a hand-over: the transfer of keys from the previous home to the new home (see [HandOverPart]).
 *
 * @property ran true if the request with the key certainly ran; false if it is unknown whether the request ran.
 * @property recordedWallMs time on the wall clock at which the key was recorded, in milliseconds since the Unix epoch.
 */
@Serializable
data class HandedKey(
    val key: KeyHash,
    val ran: Boolean,
    val recordedWallMs: Long,
)
