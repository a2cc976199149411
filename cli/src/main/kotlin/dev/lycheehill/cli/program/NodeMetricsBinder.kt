package dev.lycheehill.cli.program

import dev.lycheehill.fleet.FleetAgent
import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.node.metrics.ControlDirection
import dev.lycheehill.node.metrics.NodeMeter
import dev.lycheehill.node.metrics.NodeMetrics

/** Connects the metrics of a node with its fleet agent. */
object NodeMetricsBinder {
    /** Makes the gauges of [metrics] read their values from [agent]. */
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
