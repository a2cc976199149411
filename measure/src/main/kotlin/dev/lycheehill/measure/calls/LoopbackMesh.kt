package dev.lycheehill.measure.calls

import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.config.model.CostClass
import dev.lycheehill.config.model.Priority
import dev.lycheehill.config.model.Route
import dev.lycheehill.config.model.Service
import dev.lycheehill.core.time.SystemTimerService
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.node.DataPathSettings
import dev.lycheehill.node.LycheehillNode
import dev.lycheehill.node.policy.CallPolicies
import dev.lycheehill.node.quarantine.EvidenceChannel
import dev.lycheehill.node.target.TargetRegistration
import dev.lycheehill.node.view.InMemoryFleetView
import dev.lycheehill.node.view.SharedFleet
import dev.lycheehill.standins.backend.BackendSettings
import dev.lycheehill.standins.backend.BackendStandIn
import dev.lycheehill.standins.backend.RunCounter
import dev.lycheehill.standins.backend.ServiceTimeDistribution
import java.net.InetSocketAddress

/**
 * Mesh of target nodes with backend servers and of caller nodes in this process, connected by loopback sockets. The nodes
 * share one fleet view in memory, so that a measurement covers calls only.
 */
class LoopbackMesh(
    deployment: CallDeployment,
    policies: CallPolicies,
    seed: Long,
    targets: Int = deployment.targets,
    callers: Int = 2,
    shortCalls: ServiceTimeDistribution,
    longCalls: ServiceTimeDistribution = shortCalls,
    private val evidence: EvidenceChannel = EvidenceChannel.None,
) : AutoCloseable {
    private val fleet = SharedFleet(contentOf(deployment))
    private val timers = SystemTimerService("measure-timer")
    private val backendGroup = BackendStandIn.newEventLoopGroup(threads = 2)
    private val settings = DataPathSettings(eventLoopCount = 1, seed = seed)

    /** Backend servers, in the same order as [targetNodes]. */
    val backends: List<BackendStandIn> =
        List(targets) {
            val backend =
                BackendSettings(
                    slots = deployment.slots,
                    maxQueue = MAX_BACKEND_QUEUE,
                    shortCalls = shortCalls,
                    longCalls = longCalls,
                    seed = seed + it,
                )
            BackendStandIn(backend, RunCounter(), backendGroup).start()
        }

    /** Nodes of the backend servers. */
    val targetNodes: List<LycheehillNode> = List(targets) { startNode("target-$it", deployment, policies) }

    private val callerNodes = List(callers) { startNode("caller-$it", deployment, policies) }

    /** Addresses of the caller nodes, to which the load is sent. */
    val callerAddresses: List<InetSocketAddress> = callerNodes.map { it.egressAddress }

    /** Returns the capacity of all targets in calls per second, if the mean service time of the calls is [meanMs] milliseconds. */
    fun capacity(
        deployment: CallDeployment,
        meanMs: Double,
    ): Double = backends.size * deployment.slots / meanMs * MILLIS_PER_SECOND

    init {
        targetNodes.forEachIndexed { index, node ->
            val backend = backends[index]
            node.target.announce(TargetRegistration(deployment.service, backend.address, MemberState.READY, deployment.slots, LEASE_MS))
        }
    }

    override fun close() {
        (callerNodes + targetNodes).forEach { it.kill() }
        backends.forEach { it.close() }
        backendGroup.shutdownGracefully()
        timers.close()
    }

    // All nodes are in one availability zone, because the measurements concern targets and not zones.
    private fun startNode(
        nodeId: String,
        deployment: CallDeployment,
        policies: CallPolicies,
    ): LycheehillNode {
        val record =
            MemberRecord(
                nodeId = nodeId,
                incarnation = 1,
                state = MemberState.COLD,
                zone = deployment.zones.first(),
                region = deployment.region,
                controlAddress = "127.0.0.1:1",
                dataAddress = "127.0.0.1:1",
            )
        fleet.put(record)
        val node = LycheehillNode(settings, InMemoryFleetView(fleet, nodeId), timers, policies, evidence = evidence)
        node.start()
        fleet.update(nodeId) { it.copy(dataAddress = "127.0.0.1:${node.ingressAddress.port}") }
        return node
    }

    companion object {
        private const val MAX_BACKEND_QUEUE = 100_000
        private const val LEASE_MS = 3_600_000L
        private const val MILLIS_PER_SECOND = 1_000

        /** Short reads of normal priority. */
        val READ = CallKind("read", "/read")

        /** Short reads of high priority. */
        val URGENT = CallKind("urgent", "/urgent")

        /** Reads with the service time of long calls. */
        val LONG_READ = CallKind("long", "/long", headers = mapOf("x-cost" to "long"))

        private fun contentOf(deployment: CallDeployment): ConfigContent {
            val service =
                Service(deployment.service, timeoutMs = 1_000, maxInFlightPerTarget = deployment.slots, maxQueue = 40, hedgePercent = 5)
            val weights = mapOf(service.name to 100)
            val routes =
                listOf(
                    Route("read", pathPrefix = "/read", weights = weights, cost = CostClass.SHORT),
                    Route("urgent", pathPrefix = "/urgent", weights = weights, cost = CostClass.SHORT, priority = Priority.HIGH),
                    Route("long", pathPrefix = "/long", weights = weights, cost = CostClass.LONG, timeoutMs = 10_000),
                )
            return ConfigContent(mapOf(service.name to service), routes.associateBy { it.name })
        }
    }
}
