package dev.lycheehill.node.egress

import dev.lycheehill.core.Verdict
import dev.lycheehill.node.http.CallHandler
import dev.lycheehill.node.http.InboundCall
import dev.lycheehill.node.http.NodeResponses
import io.netty.handler.codec.http.HttpResponseStatus

/** Serves the callers of this node: finds the route of each call and sends it to a target. */
internal class EgressHandler(
    private val environment: EgressEnvironment,
) : CallHandler {
    override fun handle(call: InboundCall) {
        val loop = environment.loops.of(call.eventLoop)
        val snapshot = environment.fleet.foldState()
        val decision = environment.router.decide(snapshot, call, loop.random)
        if (decision == null) {
            NodeResponses.giveUp(call, HttpResponseStatus.NOT_FOUND, Verdict.NOT_RUN, "no-route", snapshot.version)
            return
        }
        EgressCall(environment, loop, call, decision).start()
    }
}
