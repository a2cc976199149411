package dev.lycheehill.calls.quarantine

import kotlinx.serialization.Serializable

/**
 * A suspected request ended well at a target.
 *
 * @property finishedAtMs wall time of the end at that node.
 */
@Serializable
data class SuccessEvidence(
    val fingerprint: RequestFingerprint,
    val nodeId: String,
    val finishedAtMs: Long,
)
