package dev.lycheehill.platformlog

import dev.lycheehill.core.Verdict

/**
 * Failure of a call to the log.
 *
 * @property verdict for an append, whether it may have taken effect; for a read, always [Verdict.NOT_RUN].
 */
data class LogError(
    val kind: Kind,
    val verdict: Verdict,
    val message: String,
    val retryAfterMs: Long? = null,
) {
    /** Cause of the failure. */
    enum class Kind { UNAVAILABLE, RATE_LIMITED, TIMEOUT, REFUSED }
}
