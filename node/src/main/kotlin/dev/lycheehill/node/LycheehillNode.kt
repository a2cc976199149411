package dev.lycheehill.node

import dev.lycheehill.calls.admission.RequestAgeEstimator
import dev.lycheehill.calls.quarantine.CrashQuarantine
import dev.lycheehill.calls.verdict.CallTreeAllowances
import dev.lycheehill.core.time.Subscription
import dev.lycheehill.core.time.TimerService
import dev.lycheehill.fleet.FleetView
import dev.lycheehill.node.api.ApiEndpoint
import dev.lycheehill.node.api.ApiHandler
import dev.lycheehill.node.api.ObservabilityEndpoints
import dev.lycheehill.node.api.OperatorEndpoints
import dev.lycheehill.node.api.QuarantineEndpoints
import dev.lycheehill.node.api.ShowEndpoints
import dev.lycheehill.node.api.TargetEndpoints
import dev.lycheehill.node.dialect.CallDialect
import dev.lycheehill.node.dialect.LycheehillDialect
import dev.lycheehill.node.egress.EgressEnvironment
import dev.lycheehill.node.egress.EgressHandler
import dev.lycheehill.node.egress.ServiceTable
import dev.lycheehill.node.ingress.AdmissionTicker
import dev.lycheehill.node.ingress.IngressEnvironment
import dev.lycheehill.node.ingress.IngressHandler
import dev.lycheehill.node.keys.KeyedRequestCoordinator
import dev.lycheehill.node.logging.DecisionLog
import dev.lycheehill.node.loop.LoopContexts
import dev.lycheehill.node.loop.Transport
import dev.lycheehill.node.metrics.NodeMeter
import dev.lycheehill.node.metrics.NodeMetrics
import dev.lycheehill.node.policy.CallPolicies
import dev.lycheehill.node.policy.StandardPolicies
import dev.lycheehill.node.quarantine.CrashReporter
import dev.lycheehill.node.quarantine.EvidenceChannel
import dev.lycheehill.node.routing.EndpointIndex
import dev.lycheehill.node.routing.Router
import dev.lycheehill.node.target.LocalTarget
import dev.lycheehill.node.target.RunningRequests
import dev.lycheehill.node.tracing.NoopSpanRecorder
import dev.lycheehill.node.tracing.SpanRecorder
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoopGroup
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/**
 * The data path of one node: a listener for callers, one for other nodes, and the target beside it.
 *
 * [additionalEndpoints] are added to the local API. [dialect] is how callers and the backend server speak.
 *
 * The order of use is [start], [drain], [stop]; [kill] ends the node at any time as a crash would.
 */
class LycheehillNode(
    private val settings: DataPathSettings,
    private val fleet: FleetView,
    private val timers: TimerService,
    policies: CallPolicies = StandardPolicies,
    transport: Transport = Transport.best(),
    additionalEndpoints: List<ApiEndpoint> = emptyList(),
    private val metrics: NodeMetrics = NodeMetrics(),
    private val spans: SpanRecorder = NoopSpanRecorder,
    evidence: EvidenceChannel = EvidenceChannel.None,
    private val keys: KeyedRequestCoordinator? = null,
    private val dialect: CallDialect = LycheehillDialect,
    private val networkOptions: NodeNetworkOptions = NodeNetworkOptions(),
) {
    /** Requests that crash backend servers. The fleet adds the evidence of other nodes. */
    val quarantine = CrashQuarantine()

    private val admission = policies.newAdmission(slots = 1, maxQueue = DEFAULT_MAX_QUEUE)

    /** The backend server beside this node. */
    val target = LocalTarget(fleet, timers) { admission.setSlots(it, System.nanoTime()) }

    private val group: EventLoopGroup = networkOptions.group ?: transport.newGroup(settings.eventLoopCount, "lycheehill-data")
    private val decisions = DecisionLog()
    private val running = RunningRequests()
    private val ticks = AdmissionTicker(admission, timers, ADMISSION_TICK_MS)
    private val loops = LoopContexts(group, transport, settings)
    private val crashes = CrashReporter(quarantine, evidence, fleet, timers)
    private val allowances = CallTreeAllowances()
    private val services = ServiceTable(policies, fleet.self.zone, settings.seed)
    private val router = Router()
    private val egress = HttpListener(settings, transport, group, egressHandler(), metrics)
    private val ingress = HttpListener(settings, transport, group, ingressHandler(), metrics)
    private val apiGroup: EventLoopGroup = networkOptions.group ?: Transport.NIO.newGroup(1, "lycheehill-api")
    private val listeners =
        networkOptions.listeners.map {
            it.bindAddress to
                HttpListener(
                    settings,
                    transport,
                    group,
                    ApiHandler(it.endpoints),
                    metrics,
                )
        }
    private val api = HttpListener(settings, Transport.NIO, apiGroup, ApiHandler(apiEndpoints() + additionalEndpoints), metrics)
    private var subscriptions = emptyList<Subscription>()

    /** Address for callers. */
    val egressAddress: InetSocketAddress get() = egress.address

    /** Address for other nodes. */
    val ingressAddress: InetSocketAddress get() = ingress.address

    /** Address of the local API for the target and for operators. */
    val apiAddress: InetSocketAddress get() = api.address

    /** Binds the listeners and starts to serve. */
    fun start() {
        metrics.bindGauge(NodeMeter.QUARANTINED) { quarantine.list(timers.wallMillis()).size }
        metrics.bindGauge(NodeMeter.IN_FLIGHT) { target.inFlight }
        metrics.bindGauge(NodeMeter.CONFIG_VERSION) { fleet.foldState().version }
        ingress.start(settings.ingress)
        egress.start(settings.egress)
        api.start(settings.localApi)
        listeners.forEach { (bindAddress, server) -> server.start(bindAddress) }
        subscriptions =
            listOf(
                timers.every(LEASE_CHECK_MS) { target.checkLease() },
                timers.every(QUARANTINE_CHECK_MS) { quarantine.expire(timers.wallMillis()) },
                timers.every(SWEEP_MS) { services.dropUnused(System.nanoTime(), UNUSED_NANOS) },
            )
    }

    /** Refuses new work for the target as `not run`. Calls in flight continue, and callers of this node are served. */
    fun drain() {
        if (!target.isDraining) log.info { "draining; calls in flight: ${target.inFlight}" }
        target.drain()
    }

    /** Drains, waits for the calls in flight and ends the node. */
    fun stop() {
        drain()
        closeGracefully(settings.drainTimeoutMs)
        kill()
    }

    /** Takes no further connections and waits up to [timeoutMs] for the calls in flight. */
    fun closeGracefully(timeoutMs: Long) {
        ingress.closeWhenIdle()
        egress.closeWhenIdle()
        awaitIdle(timeoutMs)
    }

    /** Ends the node at once and closes all connections. */
    fun kill() {
        subscriptions.forEach { it.cancel() }
        ingress.closeNow()
        egress.closeNow()
        api.closeNow()
        listeners.forEach { (_, server) -> server.closeNow() }
        apiGroup.shutdownGracefully(0, KILL_WAIT_MS, TimeUnit.MILLISECONDS)
        group.shutdownGracefully(0, KILL_WAIT_MS, TimeUnit.MILLISECONDS).await(KILL_WAIT_MS)
    }

    private fun awaitIdle(timeoutMs: Long) {
        val endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs)
        while (System.nanoTime() < endNanos && !(ingress.isIdle && egress.isIdle)) Thread.sleep(IDLE_POLL_MS)
    }

    private fun egressHandler() =
        EgressHandler(
            EgressEnvironment(
                settings,
                fleet,
                EndpointIndex(fleet),
                router,
                services,
                allowances,
                loops,
                metrics,
                spans,
                keys,
                dialect,
                decisions,
                RequestAgeEstimator(),
                running,
            ),
        )

    private fun apiEndpoints(): List<ApiEndpoint> =
        TargetEndpoints(target, settings.targetLeaseMs).all() + OperatorEndpoints(fleet, target, ::drain).all() +
            ShowEndpoints(fleet, router).all() +
            ObservabilityEndpoints(metrics, spans).all() + QuarantineEndpoints(quarantine, timers).all()

    private fun ingressHandler() =
        IngressHandler(
            IngressEnvironment(
                settings,
                target,
                admission,
                allowances,
                loops,
                crashes,
                metrics,
                spans,
                keys,
                dialect,
                ticks,
                fleet.self.nodeId,
                decisions,
                running,
            ),
        )

    private companion object {
        val log = KotlinLogging.logger {}

        const val LEASE_CHECK_MS = 500L
        const val ADMISSION_TICK_MS = 10L
        const val QUARANTINE_CHECK_MS = 1_000L
        const val SWEEP_MS = 60_000L
        const val DEFAULT_MAX_QUEUE = 40
        const val KILL_WAIT_MS = 2_000L
        const val IDLE_POLL_MS = 10L
        val UNUSED_NANOS = TimeUnit.MINUTES.toNanos(10)
    }
}
