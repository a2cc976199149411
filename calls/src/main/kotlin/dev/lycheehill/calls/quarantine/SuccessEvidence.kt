package dev.lycheehill.calls.quarantine

/**
 * A suspected request ended well at a target.
 *
 * @property finishedAtMs wall time of the end at that node.
 */
data class SuccessEvidence(
    val fingerprint: RequestFingerprint,
    val nodeId: String,
    val finishedAtMs: Long,
)
