package dev.lycheehill.calls.quarantine

/** A quarantined request, as listed to operators. */
data class QuarantineEntry(
    val fingerprint: RequestFingerprint,
    val nodeIds: Set<String>,
    val sinceMs: Long,
    val untilMs: Long,
)
