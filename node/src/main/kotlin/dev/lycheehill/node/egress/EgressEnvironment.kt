package dev.lycheehill.node.egress

import dev.lycheehill.calls.admission.RequestAgeEstimator
import dev.lycheehill.calls.verdict.CallTreeAllowances
import dev.lycheehill.fleet.FleetView
import dev.lycheehill.node.DataPathSettings
import dev.lycheehill.node.dialect.CallDialect
import dev.lycheehill.node.http.InboundCall
import dev.lycheehill.node.keys.KeyedRequestCoordinator
import dev.lycheehill.node.logging.DecisionLog
import dev.lycheehill.node.loop.LoopContexts
import dev.lycheehill.node.metrics.NodeMetrics
import dev.lycheehill.node.routing.EndpointIndex
import dev.lycheehill.node.routing.Router
import dev.lycheehill.node.target.RunningRequests
import dev.lycheehill.node.tracing.HopResult
import dev.lycheehill.node.tracing.SpanRecorder

/** Settings and services that all egress calls of a node share. */
internal class EgressEnvironment(
    val settings: DataPathSettings,
    val fleet: FleetView,
    val endpoints: EndpointIndex,
    val router: Router,
    val services: ServiceTable,
    val allowances: CallTreeAllowances,
    val loops: LoopContexts,
    val metrics: NodeMetrics,
    val spans: SpanRecorder,
    val keys: KeyedRequestCoordinator?,
    val dialect: CallDialect,
    val decisions: DecisionLog,
    val requestAges: RequestAgeEstimator,
    val stopDeadline: StopDeadline,
    private val runningRequests: RunningRequests,
) {
    /** Returns whether the backend server of this node made [call] for a request that it is currently executing. */
    fun isChild(call: InboundCall): Boolean =
        dialect.requestId(call.headers)?.let(dialect::parentRequestId)?.let(runningRequests::contains) == true

    /** Writes the decision-log event about the end of [call]. */
    fun log(
        call: EgressCall,
        result: HopResult,
    ) = decisions.write("call-ended", *result.describe(), *call.logFields())
}
