package dev.lycheehill.node.egress

import dev.lycheehill.config.model.CostClass
import dev.lycheehill.config.model.Priority
import dev.lycheehill.node.http.CallHeaders
import dev.lycheehill.node.http.HeaderRules
import dev.lycheehill.node.http.InboundCall
import dev.lycheehill.node.routing.RouteDecision
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpVersion

/** Makes the request heads for the attempts of one call. Headers that all attempts share are computed once. */
internal class RequestTemplate(
    private val call: InboundCall,
    private val decision: RouteDecision,
    private val keyDomain: String?,
    private val callerService: String,
    private val isChild: Boolean,
) {
    private val sharedHeaders: HttpHeaders = newSharedHeaders()

    /**
     * Returns the request head for one attempt.
     *
     * @param aimMs time in which the response has its full value, in milliseconds; null if the route sets no aim.
     * @param acceptsLate whether a response after the aim is preferred to a rejection.
     * @param deadlineMs time left until the deadline, in milliseconds.
     * @param retriesLeft retries lent to the target for its child calls; null if allowances are not sent.
     * @param statements what the target's backend server has stated, for its node; null if nothing is known.
     * @param progressMs longest time without a byte of the response, in milliseconds; null if silent calls are not ended.
     * @param traceparent trace context of the attempt; empty if the attempt is not traced.
     */
    fun newHead(
        callId: String,
        targetId: String,
        aimMs: Long?,
        acceptsLate: Boolean,
        deadlineMs: Long,
        retriesLeft: Int?,
        statements: TargetStatements.Headers?,
        progressMs: Long?,
        traceparent: String,
    ): HttpRequest {
        val headers = HeaderRules.newHeaders().set(sharedHeaders)
        headers.set(CallHeaders.CALL_ID, callId)
        headers.set(CallHeaders.TARGET, targetId)
        aimMs?.let { headers.set(CallHeaders.AIM_MS, it.toString()) }
        if (acceptsLate) headers.set(CallHeaders.ACCEPTS_LATE, "1")
        headers.set(CallHeaders.DEADLINE_MS, deadlineMs.toString())
        if (retriesLeft != null) headers.set(CallHeaders.RETRIES_LEFT, retriesLeft.toString())
        statements?.limit?.let { headers.set(CallHeaders.LIMIT, it) }
        statements?.leaving?.let { headers.set(CallHeaders.LEAVING, it) }
        progressMs?.let { headers.set(CallHeaders.PROGRESS_MS, it.toString()) }
        if (traceparent.isNotEmpty()) headers.set(CallHeaders.TRACEPARENT, traceparent)
        return DefaultHttpRequest(HttpVersion.HTTP_1_1, call.method, call.uri, headers)
    }

    private fun newSharedHeaders(): HttpHeaders {
        val route = decision.route
        val headers = HeaderRules.copyEndToEnd(call.headers)
        HeaderRules.setContentLength(headers, call)
        headers.set(CallHeaders.VERSION, decision.version.toString())
        headers.set(CallHeaders.ROUTE, route.name)
        headers.set(CallHeaders.SERVICE, decision.service.name)
        if (route.priority != Priority.NORMAL) headers.set(CallHeaders.PRIORITY, route.priority.name)
        if (route.cost != CostClass.LEARNED) headers.set(CallHeaders.COST, route.cost.name)
        if (callerService.isNotEmpty()) headers.set(CallHeaders.CALLER_SERVICE, callerService)
        if (isChild) headers.set(CallHeaders.CHILD, "1")
        keyDomain?.let { headers.set(CallHeaders.KEY_DOMAIN, it) }
        if (!headers.contains(HttpHeaderNames.HOST)) headers.set(HttpHeaderNames.HOST, "")
        return headers
    }
}
