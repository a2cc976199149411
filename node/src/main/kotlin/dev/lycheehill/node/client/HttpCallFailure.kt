package dev.lycheehill.node.client

import dev.lycheehill.core.Verdict
import dev.lycheehill.node.upstream.ExchangeFailure

/**
 * Failure of a call without a complete response.
 *
 * @property reason cause of the failure.
 * @property mayHaveRun whether the peer may have executed the call.
 */
class HttpCallFailure(
    val reason: String,
    val mayHaveRun: Boolean,
) {
    internal companion object {
        fun of(failure: ExchangeFailure) = HttpCallFailure(failure.kind.reason, failure.verdict != Verdict.NOT_RUN)
    }
}
