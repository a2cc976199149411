package dev.lycheehill.node.keys

import dev.lycheehill.calls.keys.KeyDecision
import dev.lycheehill.calls.keys.KeyToken
import dev.lycheehill.core.Verdict

/** Decides at which node a request with an idempotency key may run, and whether it may run there. Thread-safe. */
interface KeyedRequestCoordinator {
    /**
     * Returns the node id of the home of [key], or null if [domain] has no home yet.
     *
     * A domain without homes is remembered, so that homes are proposed for it.
     */
    fun homeOf(
        domain: String,
        key: String,
    ): String?

    /**
     * Decides whether a request that has reached the target of this node may run. After [KeyDecision.Execute], the caller must
     * call [finish] with the token of the decision.
     */
    fun begin(
        domain: String,
        key: String,
    ): KeyDecision

    /**
     * Ends the attempt of [token] with [verdict]. If the request ran, [response] is stored and answers repeated requests with
     * the same key.
     */
    fun finish(
        token: KeyToken,
        verdict: Verdict,
        response: StoredResponse? = null,
    )
}
