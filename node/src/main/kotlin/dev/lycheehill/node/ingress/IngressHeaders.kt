package dev.lycheehill.node.ingress

import dev.lycheehill.calls.balancing.LoadReport
import dev.lycheehill.calls.keys.KeyRefusal
import dev.lycheehill.core.Verdict
import dev.lycheehill.node.dialect.BackendRequestContext
import dev.lycheehill.node.egress.LoadHeader
import dev.lycheehill.node.http.CallHeaders
import dev.lycheehill.node.http.HeaderRules
import dev.lycheehill.node.http.InboundCall
import dev.lycheehill.node.keys.StoredResponse
import dev.lycheehill.node.target.DepartureHeader
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** Makes the headers of one ingress call: those of the request to the backend server and of the response to the caller's node. */
internal class IngressHeaders(
    private val environment: IngressEnvironment,
    private val call: InboundCall,
) {
    /** Returns the headers of the request to the backend server. */
    fun backendRequestHeaders(
        remainingMs: Long,
        traceparent: String,
    ): HttpHeaders {
        val headers = HeaderRules.copyEndToEnd(call.headers)
        HeaderRules.setContentLength(headers, call)
        environment.dialect.addBackendHeaders(
            headers,
            BackendRequestContext(
                remainingMs = remainingMs,
                instanceId =
                    environment.target
                        .registration()
                        ?.instanceId
                        .orEmpty(),
                callerService = call.headers.get(CallHeaders.CALLER_SERVICE).orEmpty(),
            ),
        )
        if (traceparent.isNotEmpty()) headers.set(CallHeaders.TRACEPARENT, traceparent)
        call.headers.get(CallHeaders.RETRIES_LEFT)?.let { headers.set(CallHeaders.RETRIES_LEFT, it) }
        return headers
    }

    /** Returns the headers of the response to the caller's node, made from the response headers [source] of the backend server. */
    fun peerResponseHeaders(
        source: HttpHeaders,
        unusedRetries: Int,
    ): HttpHeaders {
        val headers = HeaderRules.copyEndToEnd(source)
        headers.set(CallHeaders.VERDICT, Verdict.RAN.headerValue)
        if (call.headers.contains(CallHeaders.RETRIES_LEFT)) headers.set(CallHeaders.RETRIES_LEFT, unusedRetries.toString())
        call.headers.get(CallHeaders.CALL_ID)?.let { headers.set(CallHeaders.CALL_ID, it) }
        setLoad(headers)
        return headers
    }

    /** Returns the headers of a stored response that is replayed. */
    fun storedResponseHeaders(stored: StoredResponse): HttpHeaders {
        val headers = peerResponseHeaders(HeaderRules.newHeaders(), unusedRetries = 0)
        headers.set(CallHeaders.REASON, KeyRefusal.REPEATED.headerValue)
        if (stored.contentType.isNotEmpty()) headers.set(HttpHeaderNames.CONTENT_TYPE, stored.contentType)
        return headers
    }

    /** Sets the headers that report the load of this target and the statements of its backend server. */
    fun setLoad(headers: HttpHeaders) {
        val load =
            LoadReport(
                inFlight = environment.admission.inFlight,
                latencyNanos = environment.target.meanLatencyNanos,
                queued = environment.admission.queued,
                slots = environment.statements.usableSlots,
            )
        headers.set(CallHeaders.LOAD, LoadHeader.format(load))
        environment.statements.limitHeader()?.let { headers.set(CallHeaders.LIMIT, it.format()) }
        environment.statements.departure()?.let { headers.set(CallHeaders.LEAVING, DepartureHeader.format(it)) }
    }
}
