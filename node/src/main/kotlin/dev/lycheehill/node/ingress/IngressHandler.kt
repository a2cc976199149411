package dev.lycheehill.node.ingress

import dev.lycheehill.core.Verdict
import dev.lycheehill.node.http.CallHandler
import dev.lycheehill.node.http.CallHeaders
import dev.lycheehill.node.http.InboundCall
import dev.lycheehill.node.http.NodeResponses
import dev.lycheehill.node.target.DepartureHeader
import dev.lycheehill.node.target.LimitHeader
import io.netty.handler.codec.http.HttpResponseStatus

/** Handles the calls that other nodes send to the backend server of this node. */
internal class IngressHandler(
    private val environment: IngressEnvironment,
) : CallHandler {
    override fun handle(call: InboundCall) {
        environment.statements.onCall(
            limitReport = call.headers.get(CallHeaders.LIMIT)?.let(LimitHeader::parse),
            departureReport = call.headers.get(CallHeaders.LEAVING)?.let(DepartureHeader::parse),
        )
        val refusal = refusalReason(call)
        if (refusal != null) {
            NodeResponses.sendFailure(
                call,
                HttpResponseStatus.SERVICE_UNAVAILABLE,
                Verdict.NOT_RUN,
                refusal,
                retryAfterMs = REFUSAL_RETRY_AFTER_MS,
            ) {
                // Tells the caller's node that this target currently accepts no calls at all.
                it.set(CallHeaders.UNAVAILABLE, "1")
            }
            return
        }
        IngressCall(environment, environment.loops.of(call.eventLoop), call).start()
    }

    private fun refusalReason(call: InboundCall): String? {
        environment.target.refusal()?.let { return it }
        // An instance of another service can take over an address while other nodes still have the old member record.
        val target = call.headers.get(CallHeaders.TARGET)
        if (target != null && target != environment.nodeId) return "wrong-target"
        val service = call.headers.get(CallHeaders.SERVICE)
        return "wrong-service".takeIf { service != environment.target.registration()?.service }
    }

    private companion object {
        const val REFUSAL_RETRY_AFTER_MS = 100L
    }
}
