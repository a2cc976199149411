package dev.lycheehill.calls.keys

import dev.lycheehill.core.Verdict

/** Result of [KeyedRequests.begin]. */
sealed interface KeyDecision {
    /** The request is recorded and must run now. The attempt must be ended with [KeyedRequests.finish]. */
    data class Execute(
        val token: KeyToken,
    ) : KeyDecision

    /** The request ran before. The stored [response] is returned to the caller. */
    class Replay(
        val response: ByteArray,
    ) : KeyDecision

    /**
     * The request does not run. The node responds with status 409 for the verdicts `ran` and `may have run`, and otherwise with 503.
     *
     * @property verdict whether an earlier attempt of the request ran.
     * @property retryAfterMs hint when the caller may try again, in milliseconds; null without a hint.
     * @property homeId id of the home of the key, if another member is the home.
     */
    data class Refuse(
        val verdict: Verdict,
        val reason: KeyRefusal,
        val retryAfterMs: Long? = null,
        val homeId: String? = null,
    ) : KeyDecision
}
