package dev.lycheehill.cli.demo

import dev.lycheehill.core.time.Subscription
import dev.lycheehill.core.time.TimerService
import dev.lycheehill.fleet.FleetAgent
import dev.lycheehill.fleet.link.KtorLink
import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.node.DataPathSettings
import dev.lycheehill.node.LycheehillNode
import dev.lycheehill.node.target.TargetRegistration
import dev.lycheehill.platformlog.PlatformLog
import dev.lycheehill.standins.backend.BackendSettings
import dev.lycheehill.standins.backend.BackendStandIn
import dev.lycheehill.standins.backend.RunLog
import dev.lycheehill.standins.backend.ServiceTime
import java.net.InetAddress
import java.net.ServerSocket

/** One instance: a backend stand-in and the node beside it, on loopback sockets. */
class DemoInstance(
    val nodeId: String,
    val zone: String,
    val service: String,
    private val deployment: Deployment,
    log: PlatformLog,
    private val timers: TimerService,
    seeds: List<PeerAddress>,
    seed: Long,
) {
    /** Runs on this instance's backend server. */
    val runs = RunLog()

    private val link = KtorLink.bind(LOOPBACK)
    private val ingressPort = freePort()
    private val backend =
        BackendStandIn(
            BackendSettings(slots = deployment.slots, shortCalls = ServiceTime(medianMs = 3.0, p99Ms = 12.0), seed = seed),
            runs,
        )

    /** The node's part in the fleet. */
    val agent =
        FleetAgent(
            identity =
                MemberRecord(
                    nodeId = nodeId,
                    incarnation = 1,
                    state = MemberState.COLD,
                    zone = zone,
                    region = deployment.region,
                    controlAddress = link.address.text,
                    dataAddress = "$LOOPBACK:$ingressPort",
                ),
            link = link,
            log = log,
            timers = timers,
            codec = DemoSnapshotCodec,
            seeds = seeds,
            seed = seed,
        )

    private val node = LycheehillNode(DataPathSettings(ingressPort = ingressPort, eventLoops = 1, seed = seed), agent, timers)
    private var heartbeat: Subscription? = null

    /** Address for other nodes. */
    val controlAddress: PeerAddress get() = link.address

    /** Address for callers as `ip:port`; valid after [start]. */
    lateinit var egressAddress: String
        private set

    /** Whether the instance has not been killed. */
    @Volatile
    var alive = true
        private set

    /** Starts the backend server and the node, and announces the one to the other. */
    fun start() {
        backend.start()
        node.start()
        egressAddress = "$LOOPBACK:${node.egressAddress.port}"
        agent.start()
        announce()
        heartbeat = timers.every(LEASE_MS / RENEWALS_PER_LEASE) { announce() }
    }

    /** Takes the target out of service. */
    fun drain() = node.drain()

    /** Number of requests that began to run on the backend server. */
    fun startedRuns(): Int = runs.all().values.sumOf { it.started }

    /** Number of requests that began to run and neither ended nor were cancelled. */
    fun unfinishedRuns(): Int = runs.all().values.sumOf { it.started - it.finished - it.cancelled }

    /** Ends node and backend server at once, as when the machine fails. */
    fun kill() {
        if (!alive) return
        alive = false
        heartbeat?.cancel()
        agent.stop()
        node.kill()
        backend.close()
    }

    private fun announce() {
        node.target.announce(TargetRegistration(service, backend.address, MemberState.READY, deployment.slots, LEASE_MS))
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val LEASE_MS = 5_000L
        const val RENEWALS_PER_LEASE = 3

        // The address of the node's record is needed before the node listens.
        fun freePort(): Int = ServerSocket(0, 1, InetAddress.getByName(LOOPBACK)).use { it.localPort }
    }
}
