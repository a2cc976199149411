package dev.lycheehill.calls.quarantine

import kotlinx.serialization.Serializable

/**
 * A request was in flight at a target when its backend server died.
 *
 * @property crashedAtMs wall time of the crash at that node.
 */
@Serializable
data class CrashEvidence(
    val fingerprint: RequestFingerprint,
    val nodeId: String,
    val incarnation: Long,
    val crashedAtMs: Long,
)
