package dev.lycheehill.node.egress

import dev.lycheehill.calls.balancing.AttemptOutcome
import io.netty.handler.codec.http.HttpResponseStatus

private const val FIRST_SERVER_ERROR = 500

/** What the status of a whole response says about its target. */
internal fun HttpResponseStatus.toAttemptOutcome(): AttemptOutcome =
    when {
        this == HttpResponseStatus.SERVICE_UNAVAILABLE -> AttemptOutcome.SHED
        code() >= FIRST_SERVER_ERROR -> AttemptOutcome.FAILURE
        else -> AttemptOutcome.SUCCESS
    }
