package dev.lycheehill.calls.verdict

import dev.lycheehill.core.Verdict

/** Decision of a [RetryPolicy] on a failed attempt. */
sealed interface RetryDecision {
    /**
     * Sends the call to another target. A retry has already been taken from the budget and the allowance.
     *
     * @property delayMs time in milliseconds to wait before the next attempt.
     * @property isMove whether this is a move and not a retry, because the call reached no backend server.
     */
    data class OtherTarget(
        val delayMs: Long,
        val isMove: Boolean = false,
    ) : RetryDecision

    /**
     * Responds to the caller now.
     *
     * @property verdict verdict on the whole call.
     * @property reason reason for which the call is not tried again.
     * @property retryAfterMs time in milliseconds after which the caller may try again; null if the caller should not repeat the
     *   request automatically.
     */
    data class GiveUp(
        val verdict: Verdict,
        val reason: GiveUpReason,
        val retryAfterMs: Long? = null,
    ) : RetryDecision
}
