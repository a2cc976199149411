package dev.lycheehill.cli.program

import dev.lycheehill.fleet.FleetAgent
import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.node.metrics.ControlDirection
import dev.lycheehill.node.metrics.NodeMeter
import dev.lycheehill.node.metrics.NodeMetrics

/** Binds the gauges of a node's metrics to the fleet agent that has their values. */
object NodeMetricsBinder {
    /** Binds the gauges of [metrics] to the values of [agent]. */
    fun bind(
        metrics: NodeMetrics,
        agent: FleetAgent,
    ) {
        metrics.bindGauge(NodeMeter.FOLD_STOPPED) { flag(agent.foldState().stoppedReason != null) }
        metrics.bindGauge(NodeMeter.LOG_DIVERGENCE) { flag(agent.logDivergence != null) }
        metrics.bindRefusedRecords { agent.counters.refusedRecords.get() }
        metrics.bindControlBytes(ControlDirection.SENT) { agent.traffic.bytesSent.get() }
        metrics.bindControlBytes(ControlDirection.RECEIVED) { agent.traffic.bytesReceived.get() }
        MemberState.entries.forEach { state ->
            metrics.bindMembers(state) { agent.members().values.count { it.state == state } }
        }
    }

    private fun flag(value: Boolean): Int = if (value) 1 else 0
}
