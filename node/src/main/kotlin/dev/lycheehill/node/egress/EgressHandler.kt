package dev.lycheehill.node.egress

import dev.lycheehill.calls.keys.KeyRefusal
import dev.lycheehill.core.Verdict
import dev.lycheehill.node.http.CallHandler
import dev.lycheehill.node.http.CallHeaders
import dev.lycheehill.node.http.InboundCall
import dev.lycheehill.node.http.NodeResponses
import dev.lycheehill.node.routing.RouteDecision
import io.netty.handler.codec.http.HttpResponseStatus

/** Handles the calls of this node's callers: finds the route of each call and sends the call to a target. */
internal class EgressHandler(
    private val environment: EgressEnvironment,
) : CallHandler {
    override fun handle(call: InboundCall) {
        val loop = environment.loops.of(call.eventLoop)
        val snapshot = environment.fleet.foldState()
        val decision = environment.router.decide(snapshot, call, loop.random)
        if (decision == null) {
            rejectWithoutRoute(call, snapshot.version)
            return
        }
        val key = call.headers.get(CallHeaders.IDEMPOTENCY_KEY)
        val keys = environment.keys
        if (key == null || keys == null || decision.isIdempotent(call.method.name())) {
            EgressCall(environment, loop, call, decision).start()
            return
        }
        val home = keys.homeOf(decision.keyDomain, key)
        val service = environment.fleet.members()[home]?.let { snapshot.content.services[it.service] }
        if (home == null || service == null) {
            val reason = if (home == null) KeyRefusal.NO_EPOCH.headerValue else "key-home-gone"
            NodeResponses.sendFailure(
                call,
                HttpResponseStatus.SERVICE_UNAVAILABLE,
                Verdict.NOT_RUN,
                reason,
                snapshot.version,
                HOME_RETRY_AFTER_MS,
                environment.dialect,
            )
            return
        }
        // The service follows from the home target, so that a change of weights cannot move a key to another service.
        val homeDecision = RouteDecision(decision.version, decision.route, service)
        EgressCall(environment, loop, call, homeDecision, KeyHome(decision.keyDomain, home)).start()
    }

    override fun mayRunConcurrently(call: InboundCall): Boolean = environment.router.isIdempotent(environment.fleet.foldState(), call)

    // A node without a configuration cannot tell whether a route exists, so the caller gets 503 instead of 404.
    private fun rejectWithoutRoute(
        call: InboundCall,
        version: Long,
    ) {
        if (version == 0L) {
            val status = HttpResponseStatus.SERVICE_UNAVAILABLE
            NodeResponses.sendFailure(
                call,
                status,
                Verdict.NOT_RUN,
                "no-configuration",
                version,
                NO_CONFIGURATION_RETRY_AFTER_MS,
                environment.dialect,
            )
            return
        }
        NodeResponses.sendFailure(call, HttpResponseStatus.NOT_FOUND, Verdict.NOT_RUN, "no-route", version, dialect = environment.dialect)
    }

    private companion object {
        // A starting node reads the configuration in about this time.
        const val NO_CONFIGURATION_RETRY_AFTER_MS = 500L

        // A new epoch is proposed and distributed in about this time.
        const val HOME_RETRY_AFTER_MS = 500L
    }
}
