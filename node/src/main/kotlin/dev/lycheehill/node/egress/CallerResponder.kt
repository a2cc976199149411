package dev.lycheehill.node.egress

import dev.lycheehill.core.Verdict
import dev.lycheehill.node.dialect.CallDialect
import dev.lycheehill.node.http.CallHeaders
import dev.lycheehill.node.http.HeaderRules
import dev.lycheehill.node.http.InboundCall
import dev.lycheehill.node.http.NodeResponses
import dev.lycheehill.node.relay.CollectedResponse
import io.netty.handler.codec.http.HttpHeaders

/** Answers one caller, and keeps the latest answer of a backend server that failed while another one is tried. */
internal class CallerResponder(
    private val call: InboundCall,
    private val version: Long,
    private val dialect: CallDialect,
) {
    private var kept: CollectedResponse? = null

    /** Keeps [response], which is the caller's unless a later attempt succeeds. */
    fun keep(response: CollectedResponse) {
        release()
        kept = response
    }

    /** Returns the answer that was kept and hands over its body. */
    fun takeKept(): CollectedResponse? = kept.also { kept = null }

    /** Drops the answer that was kept. */
    fun release() {
        takeKept()?.body?.release()
    }

    /** Sends a whole answer of a backend server. */
    fun send(response: CollectedResponse) = call.respond(response.status, headers(response.headers), response.body)

    /** Sends an answer of the node itself. */
    fun sendFailure(
        outcome: CallFailure,
        verdict: Verdict,
        retryAfterMs: Long?,
    ) = NodeResponses.sendFailure(call, outcome.statusFor(verdict), verdict, outcome.reason, version, retryAfterMs, dialect)

    /** Headers of an answer of a backend server, from those that its node sent. */
    fun headers(source: HttpHeaders): HttpHeaders {
        val headers = HeaderRules.copyEndToEnd(source)
        headers.set(CallHeaders.VERDICT, Verdict.RAN.headerValue)
        headers.set(CallHeaders.VERSION, version.toString())
        source.get(CallHeaders.REASON)?.let { headers.set(CallHeaders.REASON, it) }
        return headers
    }
}
