package dev.lycheehill.calls.quarantine

import kotlinx.serialization.Serializable

/**
 * Evidence that a request was in flight at a target when the backend server of the target crashed.
 *
 * @property fingerprint fingerprint of the request.
 * @property nodeId id of the node of the target.
 * @property incarnation incarnation of the node.
 * @property crashedAtMs time of the crash on the wall clock of the node, in milliseconds.
 */
@Serializable
data class CrashEvidence(
    val fingerprint: RequestFingerprint,
    val nodeId: String,
    val incarnation: Long,
    val crashedAtMs: Long,
)
