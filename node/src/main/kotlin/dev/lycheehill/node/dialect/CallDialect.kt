package dev.lycheehill.node.dialect

import dev.lycheehill.core.Verdict
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus

/**
 * Headers, statuses and request ids that the callers and backend servers of a deployment use. A dialect only translates; it makes
 * no decisions about calls.
 *
 * Between nodes, the headers of [dev.lycheehill.node.http.CallHeaders] are used with every dialect.
 */
interface CallDialect {
    /** Returns the time that the caller waits, in milliseconds, as its request states it; null if the request states none. */
    fun deadlineMs(request: HttpHeaders): String?

    /** Returns the id of the request, which logs contain; null if the request has none. */
    fun requestId(request: HttpHeaders): String?

    /** Returns the id of the request whose execution made the request [requestId]; null if [requestId] names no parent. */
    fun parentRequestId(requestId: String): String?

    /** Adds the headers that the backend server expects to the [headers] of a request. */
    fun addBackendHeaders(
        headers: HttpHeaders,
        context: BackendRequestContext,
    )

    /** Returns the kind of a backend server's [response] with regard to the request [requestId]. */
    fun classifyResponse(
        response: HttpResponse,
        requestId: String?,
    ): BackendResponseKind

    /**
     * Returns what the backend server states about itself in its [response] to the request [requestId]; null if the response cannot be
     * attributed to that request or its statement is malformed.
     */
    fun statementOf(
        response: HttpHeaders,
        requestId: String?,
    ): BackendStatement?

    /** Parses a backend server's response to a health check; returns null if the backend server is unhealthy. */
    fun healthOf(
        status: Int,
        headers: HttpHeaders,
    ): BackendHealth?

    /** Returns the status of a response that a node makes itself. [status] is the status that lycheehill uses by default. */
    fun statusOf(
        status: HttpResponseStatus,
        verdict: Verdict,
    ): HttpResponseStatus

    /** Adds the headers that the caller expects to the [headers] of a response that a node makes itself. */
    fun addCallerHeaders(
        headers: HttpHeaders,
        request: HttpHeaders,
        retryAfterMs: Long?,
    )
}
