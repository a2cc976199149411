package dev.lycheehill.node.dialect

import dev.lycheehill.core.Verdict
import dev.lycheehill.node.http.CallHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus

/** Dialect of lycheehill's own interface. */
object LycheehillDialect : CallDialect {
    override fun deadlineMs(request: HttpHeaders): String? = request.get(CallHeaders.DEADLINE_MS)

    override fun requestId(request: HttpHeaders): String? = request.get(CallHeaders.CALL_ID)

    override fun parentRequestId(requestId: String): String? = null

    override fun addBackendHeaders(
        headers: HttpHeaders,
        context: BackendRequestContext,
    ) {
        headers.set(CallHeaders.DEADLINE_MS, context.remainingMs.toString())
    }

    override fun classifyResponse(
        response: HttpResponse,
        requestId: String?,
    ): BackendResponseKind = BackendResponseKind.RAN

    // Backend servers announce a shutdown to the local API, and there is no header for a limit.
    override fun statementOf(
        response: HttpHeaders,
        requestId: String?,
    ): BackendStatement? = null

    // Unused: backend servers announce themselves instead of being health-checked.
    override fun healthOf(
        status: Int,
        headers: HttpHeaders,
    ): BackendHealth? = null

    override fun statusOf(
        status: HttpResponseStatus,
        verdict: Verdict,
    ): HttpResponseStatus = status

    override fun addCallerHeaders(
        headers: HttpHeaders,
        request: HttpHeaders,
        retryAfterMs: Long?,
    ) {
        retryAfterMs ?: return
        headers.set(CallHeaders.RETRY_AFTER_MS, retryAfterMs.toString())
        headers.set(HttpHeaderNames.RETRY_AFTER, ((retryAfterMs + MILLIS_ROUNDING_UP) / MILLIS_PER_SECOND).toString())
    }

    private const val MILLIS_PER_SECOND = 1_000
    private const val MILLIS_ROUNDING_UP = 999
}
