package dev.lycheehill.cli.program

import dev.lycheehill.calls.keys.KeySettings
import dev.lycheehill.core.time.TimerService
import dev.lycheehill.fleet.FleetAgent
import dev.lycheehill.fleet.link.KtorLink
import dev.lycheehill.fleet.link.Link
import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.link.TlsLink
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.node.DataPathSettings
import dev.lycheehill.node.LycheehillNode
import dev.lycheehill.node.keys.KeyHomeManager
import dev.lycheehill.node.metrics.NodeMeter
import dev.lycheehill.node.metrics.NodeMetrics
import dev.lycheehill.node.quarantine.GossipEvidenceChannel
import dev.lycheehill.node.settings.HostPort
import dev.lycheehill.node.settings.NodeSettings
import dev.lycheehill.node.stop.StopSteps
import dev.lycheehill.node.tracing.OtelSpanRecorder
import dev.lycheehill.platformlog.PlatformLog
import io.github.oshai.kotlinlogging.KotlinLogging
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Path
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import dev.lycheehill.fleet.link.TlsSettings as LinkTlsSettings

/**
 * Complete node whose fleet exchanges the configuration through the platform's log: data path, fleet agent and local API.
 *
 * @param seed seed of all random choices of the node.
 */
class LogBackedNode(
    private val settings: NodeSettings,
    log: PlatformLog,
    private val timers: TimerService,
    seed: Long,
) {
    private val link = newLink()
    private val ingressPort =
        settings.addresses.ingress.port
            .takeIf { it != 0 } ?: freePort(settings.addresses.ingress.host)

    /** Fleet agent of the node. */
    val agent =
        FleetAgent(
            identity = identity(),
            link = link,
            log = log,
            timers = timers,
            seeds = settings.seeds.map { PeerAddress(it.toString()) },
            seed = seed,
        )

    private val metrics = NodeMetrics()
    private val spans = OtelSpanRecorder(settings.nodeId, settings.zone, settings.tracing)

    private val appendExecutor = Executors.newSingleThreadExecutor { Thread(it, "key-homes-${settings.nodeId}").apply { isDaemon = true } }
    private val keys = KeyHomeManager(agent, log, timers, appendExecutor, KeySettings(maxKeys = settings.limits.maxKeys))
    private val evidence = GossipEvidenceChannel(agent.messenger)

    private val node =
        LycheehillNode(
            settings = dataPathSettings(seed),
            fleet = agent,
            timers = timers,
            metrics = metrics,
            spans = spans,
            evidence = evidence,
            keys = keys,
        )

    /** Address at which other nodes reach the node. */
    val controlAddress: HostPort get() = HostPort(link.address.host, link.address.port)

    /** Address at which callers reach the node. Valid after [start]. */
    lateinit var egressAddress: HostPort
        private set

    /** Address of the local API. Valid after [start]. */
    lateinit var localApiAddress: HostPort
        private set

    /** Starts the node: accepts calls, joins the fleet and follows the configuration. */
    fun start() {
        NodeMetricsBinder.bind(metrics, agent)
        metrics.bindGauge(NodeMeter.KEYS) { keys.keyCount }
        node.start()
        egressAddress = HostPort(settings.addresses.egress.host, node.egressAddress.port)
        localApiAddress = HostPort(settings.addresses.localApi.host, node.apiAddress.port)
        evidence.deliverTo(node.quarantine, timers)
        keys.start()
        agent.start()
    }

    /** Stops the node gracefully: drains the target, waits for the calls in flight and leaves the fleet. Blocks. */
    fun stop() {
        val steps = StopSteps { logger.error(it) { "a step of the stop failed" } }
        steps.run { node.drain() }
        steps.run { keys.awaitRelease(KEY_RELEASE_MS) }
        steps.run { node.stop() }
        steps.run { agent.leave().get(LEAVE_TIMEOUT_MS, TimeUnit.MILLISECONDS) }
        steps.run { close() }
    }

    /** Stops the node abruptly, as killing its process does. */
    fun kill() {
        agent.stop()
        node.kill()
        close()
    }

    private fun close() {
        keys.stop()
        appendExecutor.shutdownNow()
        spans.close()
        metrics.close()
    }

    private fun newLink(): Link {
        val control = settings.addresses.control
        val tls = settings.tls ?: return KtorLink.bind(control.host, control.port)
        return TlsLink(
            host = control.host,
            port = control.port,
            tls = LinkTlsSettings(Path.of(tls.certificateFile), Path.of(tls.keyFile), Path.of(tls.authorityFile)),
        )
    }

    private fun identity() =
        MemberRecord(
            nodeId = settings.nodeId,
            incarnation = 1,
            state = MemberState.COLD,
            zone = settings.zone,
            region = settings.region,
            controlAddress = link.address.text,
            dataAddress = HostPort(settings.addresses.ingress.host, ingressPort).toString(),
        )

    private fun dataPathSettings(seed: Long) =
        DataPathSettings.of(settings).copy(
            ingress = HostPort(settings.addresses.ingress.host, ingressPort),
            seed = seed,
        )

    private companion object {
        val logger = KotlinLogging.logger {}

        // A new epoch takes about 1 s while the log responds. Without the log, the keys stay assigned to this node's member record.
        const val KEY_RELEASE_MS = 5_000L
        const val LEAVE_TIMEOUT_MS = 5_000L

        // The member record contains the ingress port before the node binds it, so the port must be known in advance.
        fun freePort(host: String): Int = ServerSocket(0, 1, InetAddress.getByName(host)).use { it.localPort }
    }
}
