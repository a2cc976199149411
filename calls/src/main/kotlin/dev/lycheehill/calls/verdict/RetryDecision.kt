package dev.lycheehill.calls.verdict

import dev.lycheehill.core.Verdict

/** What happens after an attempt that brought no usable answer. */
sealed interface RetryDecision {
    /**
     * Try another target after [delayMs]; the retry is already counted.
     *
     * @property isMove whether the call reached no backend server, so that this is no retry.
     */
    data class OtherTarget(
        val delayMs: Long,
        val isMove: Boolean = false,
    ) : RetryDecision

    /**
     * Answer the caller now.
     *
     * @property retryAfterMs when the caller may try again; null when it should not send the request again by itself.
     */
    data class GiveUp(
        val verdict: Verdict,
        val reason: GiveUpReason,
        val retryAfterMs: Long? = null,
    ) : RetryDecision
}
