package dev.lycheehill.calls.keys

import dev.lycheehill.core.Verdict

/** Answer to [KeyedRequests.begin]. */
sealed interface KeyDecision {
    /** The request is recorded and runs now. */
    data class Execute(
        val token: KeyToken,
    ) : KeyDecision

    /** The request ran before; its stored [response] is the answer. */
    class Replay(
        val response: ByteArray,
    ) : KeyDecision

    /**
     * The request does not run. Answered with 409 for `ran` and `may have run`, else with 503.
     *
     * @property homeId home of the key, if another member is.
     */
    data class Refuse(
        val verdict: Verdict,
        val reason: KeyRefusal,
        val retryAfterMs: Long? = null,
        val homeId: String? = null,
    ) : KeyDecision
}
