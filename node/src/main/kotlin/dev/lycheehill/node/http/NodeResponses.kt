package dev.lycheehill.node.http

import dev.lycheehill.core.Verdict
import dev.lycheehill.node.dialect.CallDialect
import dev.lycheehill.node.dialect.LycheehillDialect
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus

/** Sends responses that a node makes itself. */
internal object NodeResponses {
    /**
     * Sends a failure response to [call].
     *
     * @param version configuration version at the start of the call; null if unknown.
     * @param retryAfterMs delay after which the caller may retry, in milliseconds; null if a retry is pointless.
     * @param dialect dialect of the receiver. Other nodes use the dialect of lycheehill.
     * @param extra sets further headers.
     */
    fun sendFailure(
        call: InboundCall,
        status: HttpResponseStatus,
        verdict: Verdict,
        reason: String,
        version: Long? = null,
        retryAfterMs: Long? = null,
        dialect: CallDialect = LycheehillDialect,
        extra: (HttpHeaders) -> Unit = {},
    ) {
        val headers = HeaderRules.newHeaders()
        headers.set(CallHeaders.VERDICT, verdict.headerValue)
        headers.set(CallHeaders.REASON, reason)
        version?.let { headers.set(CallHeaders.VERSION, it.toString()) }
        dialect.addCallerHeaders(headers, call.headers, retryAfterMs)
        call.headers.get(CallHeaders.CALL_ID)?.let { headers.set(CallHeaders.CALL_ID, it) }
        extra(headers)
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
        val text = "${verdict.headerValue}: $reason\n"
        call.respond(dialect.statusOf(status, verdict), headers, ByteBufUtil.writeUtf8(ByteBufAllocator.DEFAULT, text))
    }
}
