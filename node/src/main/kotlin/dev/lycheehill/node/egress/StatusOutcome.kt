package dev.lycheehill.node.egress

import dev.lycheehill.calls.balancing.AttemptOutcome
import io.netty.handler.codec.http.HttpResponseStatus

private const val FIRST_SERVER_ERROR_STATUS = 500

/** Returns the outcome that the status of a complete response indicates for its target. */
internal fun HttpResponseStatus.toAttemptOutcome(): AttemptOutcome =
    when {
        this == HttpResponseStatus.SERVICE_UNAVAILABLE -> AttemptOutcome.SHED
        code() >= FIRST_SERVER_ERROR_STATUS -> AttemptOutcome.FAILURE
        else -> AttemptOutcome.SUCCESS
    }
