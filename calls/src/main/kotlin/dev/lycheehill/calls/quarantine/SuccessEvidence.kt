package dev.lycheehill.calls.quarantine

import kotlinx.serialization.Serializable

/**
 * Evidence that a suspected request succeeded at a target.
 *
 * @property fingerprint fingerprint of the request.
 * @property nodeId id of the node of the target.
 * @property finishedAtMs time of the end of the request on the wall clock of the node, in milliseconds.
 */
@Serializable
data class SuccessEvidence(
    val fingerprint: RequestFingerprint,
    val nodeId: String,
    val finishedAtMs: Long,
)
