package dev.lycheehill.cli.demo

import dev.lycheehill.cli.client.NodeClient
import dev.lycheehill.cli.program.LogBackedNode
import dev.lycheehill.cli.program.TargetAnnouncer
import dev.lycheehill.cli.program.TargetMessage
import dev.lycheehill.core.time.TimerService
import dev.lycheehill.fleet.FleetAgent
import dev.lycheehill.node.settings.HostPort
import dev.lycheehill.node.settings.NodeLimits
import dev.lycheehill.node.settings.NodeSettings
import dev.lycheehill.platformlog.PlatformLog
import dev.lycheehill.standins.backend.BackendSettings
import dev.lycheehill.standins.backend.BackendStandIn
import dev.lycheehill.standins.backend.RunCounter
import dev.lycheehill.standins.backend.ServiceTimeDistribution

/** One instance: a backend stand-in and the node beside it, on loopback sockets. */
class DemoInstance(
    settings: NodeSettings,
    val service: String,
    private val slots: Int,
    log: PlatformLog,
    timers: TimerService,
    seed: Long,
) {
    val nodeId: String = settings.nodeId
    val zone: String = settings.zone

    /** Runs on this instance's backend server. */
    val runs = RunCounter()

    private val backend = BackendStandIn(BackendSettings(slots = slots, shortCalls = SERVICE_TIME, seed = seed), runs)
    private val process = LogBackedNode(settings, log, timers, seed)
    private lateinit var api: NodeClient
    private lateinit var announcer: TargetAnnouncer

    /** The node's part in the fleet. */
    val agent: FleetAgent get() = process.agent

    /** Address for other nodes. */
    val controlAddress: HostPort get() = process.controlAddress

    /** Address for callers; valid after [start]. */
    val egressAddress: HostPort get() = process.egressAddress

    /** Whether the instance has not been killed. */
    @Volatile
    var alive = true
        private set

    /** Starts the backend server and the node, and announces the one to the other. */
    fun start() {
        backend.start()
        process.start()
        api = NodeClient(process.localApiAddress)
        announcer = TargetAnnouncer(api, TargetMessage(service, backend.address, slots, LEASE_MS))
        announcer.start()
    }

    /** Takes the target out of service. */
    fun drain(): Boolean = api.post("/v1/drain").isRight()

    /** Number of requests that began to run on the backend server. */
    fun startedRuns(): Int = runs.all().values.sumOf { it.started }

    /** Number of orders that were cancelled while they ran. Reads may be cancelled when another attempt was faster. */
    fun cancelledOrders(): Int =
        runs
            .all()
            .filterKeys(OrderRunCounts::isOrder)
            .values
            .sumOf { it.cancelled }

    /** Ends node and backend server at once, as when the machine fails. */
    fun kill() {
        if (!alive) return
        alive = false
        announcer.close()
        process.kill()
        backend.close()
    }

    /** Settings of the nodes of a demo. */
    companion object {
        private const val LEASE_MS = 5_000L
        private val SERVICE_TIME = ServiceTimeDistribution(medianMs = 3.0, p99Ms = 12.0)

        /** Returns settings with free ports on the loopback interface. */
        fun settings(
            nodeId: String,
            zone: String,
            region: String,
            seeds: List<HostPort>,
        ) = NodeSettings(
            nodeId = nodeId,
            zone = zone,
            region = region,
            seeds = seeds,
            logAddress = HostPort.LOOPBACK_FREE_PORT,
            limits = NodeLimits(eventLoopThreads = 1),
        )
    }
}
