package dev.lycheehill.node.http

import dev.lycheehill.core.Verdict
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/** Answers [InboundCall]s with responses that a node makes itself. */
internal object NodeResponses {
    /**
     * Answers that the call is given up.
     *
     * @param retryAfterMs time after which the caller may try again; null when a repetition is pointless.
     * @param extra sets further headers.
     */
    fun giveUp(
        call: InboundCall,
        status: HttpResponseStatus,
        verdict: Verdict,
        reason: String,
        version: Long? = null,
        retryAfterMs: Long? = null,
        extra: (HttpHeaders) -> Unit = {},
    ) {
        val headers = HeaderRules.newHeaders()
        headers.set(CallHeaders.VERDICT, verdict.headerValue)
        headers.set(CallHeaders.REASON, reason)
        version?.let { headers.set(CallHeaders.VERSION, it.toString()) }
        retryAfterMs?.let {
            headers.set(CallHeaders.RETRY_AFTER_MS, it.toString())
            headers.set(HttpHeaderNames.RETRY_AFTER, ((it + 999) / 1_000).toString())
        }
        call.headers.get(CallHeaders.CALL_ID)?.let { headers.set(CallHeaders.CALL_ID, it) }
        extra(headers)
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
        val text = "${verdict.headerValue}: $reason\n"
        call.respond(status, headers, ByteBufUtil.writeUtf8(ByteBufAllocator.DEFAULT, text))
    }
}
