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
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** Headers of one ingress call towards the backend server and back to the caller's node. */
internal class IngressHeaders(
    private val environment: IngressEnvironment,
    private val call: InboundCall,
) {
    /** Headers of the request to the backend server. */
    fun addBackendHeaders(
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

    /** Headers of the response to the caller's node; [source] are those of the backend server. */
    fun toPeer(
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

    /** Headers of a stored answer that is given again. */
    fun ofStored(answer: StoredResponse): HttpHeaders {
        val headers = toPeer(HeaderRules.newHeaders(), unusedRetries = 0)
        headers.set(CallHeaders.REASON, KeyRefusal.REPEATED.headerValue)
        if (answer.contentType.isNotEmpty()) headers.set(HttpHeaderNames.CONTENT_TYPE, answer.contentType)
        return headers
    }

    /** Adds the load of the target. */
    fun setLoad(headers: HttpHeaders) {
        val load =
            LoadReport(
                inFlight = environment.admission.inFlight,
                latencyNanos = environment.target.meanLatencyNanos,
                queued = environment.admission.queued,
                slots = environment.target.registration()?.slots ?: 0,
            )
        headers.set(CallHeaders.LOAD, LoadHeader.format(load))
    }
}
