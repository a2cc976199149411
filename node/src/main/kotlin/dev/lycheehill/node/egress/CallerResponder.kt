package dev.lycheehill.node.egress

import dev.lycheehill.core.Verdict
import dev.lycheehill.node.dialect.CallDialect
import dev.lycheehill.node.http.CallHeaders
import dev.lycheehill.node.http.HeaderRules
import dev.lycheehill.node.http.InboundCall
import dev.lycheehill.node.http.NodeResponses
import dev.lycheehill.node.relay.CollectedResponse
import io.netty.handler.codec.http.HttpHeaders

/** Sends the response to one caller. Keeps the latest server error of a backend server while the call is retried. */
internal class CallerResponder(
    private val call: InboundCall,
    private val version: Long,
    private val dialect: CallDialect,
) {
    private var keptResponse: CollectedResponse? = null

    /** Keeps [response], which the caller receives unless a later attempt succeeds. Replaces the response kept before. */
    fun keepResponse(response: CollectedResponse) {
        releaseKeptResponse()
        keptResponse = response
    }

    /** Returns the kept response, if any. The receiver takes over the reference to its body. */
    fun takeKeptResponse(): CollectedResponse? = keptResponse.also { keptResponse = null }

    /** Releases the kept response. */
    fun releaseKeptResponse() {
        takeKeptResponse()?.body?.release()
    }

    /** Sends the complete response of a backend server. */
    fun sendBackendResponse(response: CollectedResponse) = call.respond(response.status, responseHeaders(response.headers), response.body)

    /** Sends a failure response that this node makes itself. */
    fun sendFailure(
        failure: CallFailure,
        verdict: Verdict,
        retryAfterMs: Long?,
    ) = NodeResponses.sendFailure(call, failure.statusFor(verdict), verdict, failure.reason, version, retryAfterMs, dialect)

    /** Returns the headers of the response to the caller, made from the response headers [source] of the target's node. */
    fun responseHeaders(source: HttpHeaders): HttpHeaders {
        val headers = HeaderRules.copyEndToEnd(source)
        headers.set(CallHeaders.VERDICT, Verdict.RAN.headerValue)
        headers.set(CallHeaders.VERSION, version.toString())
        source.get(CallHeaders.REASON)?.let { headers.set(CallHeaders.REASON, it) }
        return headers
    }
}
