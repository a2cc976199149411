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

/** Instance of the demo: a backend stand-in and its node, on loopback sockets. */
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

    /** Counts the runs on the backend server of this instance. */
    val runs = RunCounter()

    private val backend = BackendStandIn(BackendSettings(slots = slots, shortCalls = SERVICE_TIME, seed = seed), runs)
    private val logBackedNode = LogBackedNode(settings, log, timers, seed)
    private lateinit var api: NodeClient
    private lateinit var announcer: TargetAnnouncer

    /** Fleet agent of the node. */
    val agent: FleetAgent get() = logBackedNode.agent

    /** Address at which other nodes reach the node. */
    val controlAddress: HostPort get() = logBackedNode.controlAddress

    /** Address at which callers reach the node. Valid after [start]. */
    val egressAddress: HostPort get() = logBackedNode.egressAddress

    /** False once the instance has been killed. */
    @Volatile
    var isAlive = true
        private set

    /** Starts the backend server and the node, and announces the backend server to the node. */
    fun start() {
        backend.start()
        logBackedNode.start()
        api = NodeClient(logBackedNode.localApiAddress)
        announcer = TargetAnnouncer(api, TargetMessage(service, backend.address, slots, LEASE_MS))
        announcer.start()
    }

    /** Takes the target out of service. Returns whether the node accepted the request. */
    fun drain(): Boolean = api.post("/v1/drain").isRight()

    /** Returns the number of requests that started to run on the backend server. */
    fun startedRuns(): Int = runs.all().values.sumOf { it.started }

    /**
     * Returns the number of orders that were cancelled while they ran.
     *
     * Reads do not count, because a read is also cancelled when another attempt was faster.
     */
    fun cancelledOrderCount(): Int =
        runs
            .all()
            .filterKeys(OrderRunCounts::isOrder)
            .values
            .sumOf { it.cancelled }

    /** Stops the node and the backend server abruptly, as a machine failure does. */
    fun kill() {
        if (!isAlive) return
        isAlive = false
        announcer.close()
        logBackedNode.kill()
        backend.close()
    }

    /** Creates the settings of the demo's nodes. */
    companion object {
        private const val LEASE_MS = 5_000L
        private val SERVICE_TIME = ServiceTimeDistribution(medianMs = 3.0, p99Ms = 12.0)

        /** Returns settings that bind any free ports on the loopback interface. */
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
