package dev.lycheehill.calls.quarantine

/**
 * A quarantined request, as listed to operators.
 *
 * @property fingerprint fingerprint of the request.
 * @property nodeIds ids of the nodes whose backend servers crashed.
 * @property sinceMs start of the quarantine: the time of the latest crash on the wall clock, in milliseconds.
 * @property untilMs end of the quarantine on the wall clock, in milliseconds.
 */
data class QuarantineEntry(
    val fingerprint: RequestFingerprint,
    val nodeIds: Set<String>,
    val sinceMs: Long,
    val untilMs: Long,
)
