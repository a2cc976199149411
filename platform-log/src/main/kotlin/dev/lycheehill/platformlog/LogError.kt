package dev.lycheehill.platformlog

import dev.lycheehill.core.Verdict

/**
 * Failure of a call to the log.
 *
 * @property verdict whether a failed append may have taken effect; always [Verdict.NOT_RUN] for a read.
 * @property message description for logs and operators.
 * @property retryAfterMs time in milliseconds after which the log accepts another call; null when the log stated none.
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
