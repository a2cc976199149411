package dev.lycheehill.node.dialect

import dev.lycheehill.core.Verdict
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus

/**
 * How callers and backend servers of a deployment speak about a call. It translates and decides nothing.
 *
 * Between nodes the headers of [dev.lycheehill.node.http.CallHeaders] are used, whatever the dialect.
 */
interface CallDialect {
    /** Milliseconds that the caller waits, as its request states them; null when it states none. */
    fun deadlineMs(request: HttpHeaders): String?

    /** Name of the request in logs; null when it has none. */
    fun requestId(request: HttpHeaders): String?

    /** Name of the request whose run made the request named [requestId]; null when its name shows none. */
    fun parentRequestId(requestId: String): String?

    /** Adds what the backend server expects to the headers of a request. */
    fun addBackendHeaders(
        headers: HttpHeaders,
        context: BackendRequestContext,
    )

    /** Tells what [response] of a backend server means for the request named [requestId]. */
    fun classifyResponse(
        response: HttpResponse,
        requestId: String?,
    ): BackendResponseKind

    /** Reads the answer of a backend server to the question whether it is healthy; null when it is not. */
    fun healthOf(
        status: Int,
        headers: HttpHeaders,
    ): BackendHealth?

    /** Status of an answer that a node makes itself; [status] is the product's own. */
    fun statusOf(
        status: HttpResponseStatus,
        verdict: Verdict,
    ): HttpResponseStatus

    /** Adds what the caller expects to the headers of an answer that a node makes itself. */
    fun addCallerHeaders(
        headers: HttpHeaders,
        request: HttpHeaders,
        retryAfterMs: Long?,
    )
}
