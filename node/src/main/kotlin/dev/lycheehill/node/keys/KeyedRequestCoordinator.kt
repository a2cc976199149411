package dev.lycheehill.node.keys

import dev.lycheehill.calls.keys.KeyDecision
import dev.lycheehill.calls.keys.KeyToken
import dev.lycheehill.core.Verdict

/** Decides where a request with an idempotency key runs, and whether it may run. Thread-safe. */
interface KeyedRequestCoordinator {
    /**
     * Returns the node id of the home of [key], or null when [domain] has no home yet.
     *
     * An unknown domain is remembered, so that homes are proposed for it.
     */
    fun homeOf(
        domain: String,
        key: String,
    ): String?

    /** Decides for a request that has reached this node's target. [finish] must follow a [KeyDecision.Execute]. */
    fun begin(
        domain: String,
        key: String,
    ): KeyDecision

    /** Ends an attempt; [response] is kept for repetitions when the request ran. */
    fun finish(
        token: KeyToken,
        verdict: Verdict,
        response: StoredResponse? = null,
    )
}
