package dev.lycheehill.node

import dev.lycheehill.calls.admission.RequestAgeEstimator
import dev.lycheehill.calls.quarantine.CrashQuarantine
import dev.lycheehill.calls.verdict.CallTreeAllowances
import dev.lycheehill.core.time.NANOS_PER_MILLI
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
import dev.lycheehill.node.egress.StopDeadline
import dev.lycheehill.node.http.OpenWork
import dev.lycheehill.node.ingress.AdmissionTicker
import dev.lycheehill.node.ingress.IngressEnvironment
import dev.lycheehill.node.ingress.IngressHandler
import dev.lycheehill.node.keys.KeyedRequestCoordinator
import dev.lycheehill.node.logging.DecisionLog
import dev.lycheehill.node.loop.LoopContexts
import dev.lycheehill.node.loop.Transport
import dev.lycheehill.node.metrics.CallSource
import dev.lycheehill.node.metrics.NodeMeter
import dev.lycheehill.node.metrics.NodeMetrics
import dev.lycheehill.node.policy.CallPolicies
import dev.lycheehill.node.policy.StandardPolicies
import dev.lycheehill.node.quarantine.CrashReporter
import dev.lycheehill.node.quarantine.EvidenceChannel
import dev.lycheehill.node.routing.EndpointIndex
import dev.lycheehill.node.routing.Router
import dev.lycheehill.node.stop.StopPhase
import dev.lycheehill.node.stop.StopReport
import dev.lycheehill.node.stop.StopSteps
import dev.lycheehill.node.stop.UnansweredCallReporter
import dev.lycheehill.node.target.BackendStatements
import dev.lycheehill.node.target.LocalTarget
import dev.lycheehill.node.target.RunningRequests
import dev.lycheehill.node.tracing.NoopSpanRecorder
import dev.lycheehill.node.tracing.SpanRecorder
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoopGroup
import io.netty.util.concurrent.Future
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/**
 * The data path of one node: the listeners for callers, for other nodes and for the local API, and the target beside the node.
 *
 * A node is used in the order [start], [drain], [stop]. [kill] ends the node at any time, as a crash would.
 *
 * @param additionalEndpoints endpoints that are added to the local API.
 * @param evidence channel that passes the crash evidence of this node on to the other nodes.
 * @param keys coordinator of requests with an idempotency key; null if the node does not support idempotency keys.
 * @param dialect headers and statuses that callers and the backend server use.
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
    /** Quarantine of the requests that crash backend servers. The fleet adds the evidence of other nodes. */
    val quarantine = CrashQuarantine()

    private val admission = policies.newAdmission(slots = 1, maxQueue = DEFAULT_MAX_QUEUE)

    /** The backend server beside this node. */
    val target = LocalTarget(fleet, timers) { admission.setSlots(it, System.nanoTime()) }

    private val group: EventLoopGroup = networkOptions.group ?: transport.newGroup(settings.eventLoopCount, "lycheehill-data")
    private val decisionLog = DecisionLog()

    // A log of its own, because the lines about failed calls use up the rate of the other one under load.
    private val statements = BackendStatements(target, DecisionLog(), timers::wallMillis) { admission.setMaxRate(it, System.nanoTime()) }
    private val runningRequests = RunningRequests()
    private val admissionTicker = AdmissionTicker(admission, timers, ADMISSION_TICK_PERIOD_MS)
    private val loopContexts = LoopContexts(group, transport, settings)
    private val crashReporter = CrashReporter(quarantine, evidence, fleet, timers)
    private val retryAllowances = CallTreeAllowances()
    private val stopDeadline = StopDeadline()
    private val serviceTable = ServiceTable(policies, fleet.self.zone, settings.seed)
    private val router = Router()
    private val unansweredCallLog = DecisionLog(linesPerSecond = UnansweredCallReporter.MAX_LISTED_CALLS)
    private val egressListener = HttpListener(settings, transport, group, egressHandler(), metrics, observer(CallSource.CALLERS))
    private val ingressListener = HttpListener(settings, transport, group, ingressHandler(), metrics, observer(CallSource.NODES))
    private val apiGroup: EventLoopGroup = networkOptions.group ?: Transport.NIO.newGroup(1, "lycheehill-api")
    private val additionalListeners =
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
    private val apiListener = HttpListener(settings, Transport.NIO, apiGroup, ApiHandler(apiEndpoints() + additionalEndpoints), metrics)
    private var subscriptions = emptyList<Subscription>()

    /** Report about the stop of this node. */
    internal val stopReport = StopReport(DecisionLog(), metrics, ::openWork)

    /** Address that the listener for callers is bound to. */
    val egressAddress: InetSocketAddress get() = egressListener.address

    /** Address that the listener for other nodes is bound to. */
    val ingressAddress: InetSocketAddress get() = ingressListener.address

    /** Address that the local API for the target and for operators is bound to. */
    val apiAddress: InetSocketAddress get() = apiListener.address

    /** Binds the listeners and starts the periodic tasks. */
    fun start() {
        metrics.bindGauge(NodeMeter.QUARANTINED) { quarantine.list(timers.wallMillis()).size }
        metrics.bindGauge(NodeMeter.IN_FLIGHT) { target.inFlight }
        metrics.bindGauge(NodeMeter.BACKEND_LIMIT) { statements.maxRequestsPerSecond ?: 0 }
        metrics.bindGauge(NodeMeter.CONFIG_VERSION) { fleet.foldState().version }
        metrics.bindGauge(NodeMeter.STOP_ELAPSED) { stopReport.elapsedMs / MILLIS_PER_SECOND }
        ingressListener.start(settings.ingress)
        egressListener.start(settings.egress)
        apiListener.start(settings.localApi)
        additionalListeners.forEach { (bindAddress, listener) -> listener.start(bindAddress) }
        subscriptions =
            listOf(
                timers.every(LEASE_CHECK_PERIOD_MS) { target.checkLease() },
                timers.every(QUARANTINE_CHECK_PERIOD_MS) { quarantine.expire(timers.wallMillis()) },
                timers.every(SERVICE_SWEEP_PERIOD_MS) { serviceTable.dropUnused(System.nanoTime(), MAX_SERVICE_IDLE_NANOS) },
            )
    }

    /** Refuses new calls to the target with the verdict `not-run`. Calls in flight continue, and this node's callers are still served. */
    fun drain() {
        if (!target.isDraining) log.info { "draining; calls in flight: ${target.inFlight}" }
        target.drain()
    }

    /** Drains the node, waits up to [DataPathSettings.drainTimeoutMs] for the calls in flight, and ends the node. */
    fun stop() {
        val steps = StopSteps(stopReport::fail)
        steps.run { stopReport.begin() }
        steps.run { drain() }
        steps.run { stopReport.enter(StopPhase.CLOSING, plannedMs = 0, "timeout_ms" to settings.drainTimeoutMs) }
        val isAnswered = steps.run { closeGracefully(settings.drainTimeoutMs) } ?: false
        val isReported = steps.run { reportUnanswered() } ?: false
        steps.run { stopReport.enter(StopPhase.ENDED, settings.drainTimeoutMs, "all_answered" to isAnswered, "calls_listed" to isReported) }
        kill()
    }

    /**
     * Stops accepting connections from callers and other nodes, and waits up to [timeoutMs] for the calls in flight. A request
     * that is complete only now is refused if its deadline is after this time. Returns whether all calls are answered.
     */
    fun closeGracefully(timeoutMs: Long): Boolean {
        val startNanos = System.nanoTime()
        closeListeners(timeoutMs)
        return awaitResponses(timeoutMs - (System.nanoTime() - startNanos) / NANOS_PER_MILLI)
    }

    /**
     * Stops accepting connections from callers and other nodes, and closes each open connection as soon as it carries no call. Returns
     * when the event loops have begun to do so, after at most [timeoutMs] milliseconds.
     *
     * @param timeoutMs time after which the node ends. A request that is complete only now is refused if its deadline is later.
     */
    internal fun closeListeners(timeoutMs: Long) {
        val startNanos = System.nanoTime()
        stopDeadline.set(timeoutMs, startNanos)
        val steps = StopSteps(stopReport::fail)
        val closed = listOf(ingressListener, egressListener).mapNotNull { steps.run { it.closeWhenIdle() } }
        awaitAll(closed, startNanos, timeoutMs)
        // The last accepted connections are registered by tasks that precede these.
        awaitAll(group.map { it.submit {} }, startNanos, timeoutMs)
    }

    /**
     * Waits up to [timeoutMs] milliseconds until the responses to all calls are sent, and up to [LINGER_WAIT_MS] of it for callers
     * that have not closed their connections and send nothing more. Returns whether the responses are sent.
     */
    internal fun awaitResponses(timeoutMs: Long): Boolean {
        val endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs)
        while (System.nanoTime() < endNanos && !isIdle() && !isLingerTimeOver()) Thread.sleep(IDLE_POLL_PERIOD_MS)
        return isFlushed()
    }

    /**
     * Reports the calls that the end of the node cuts off, and waits up to [REPORT_TIMEOUT_MS] for the event loops. Returns whether the
     * report is complete. A call that is answered later is not reported again.
     */
    internal fun reportUnanswered(): Boolean {
        val startNanos = System.nanoTime()
        return awaitAll(ingressListener.reportUnanswered() + egressListener.reportUnanswered(), startNanos, REPORT_TIMEOUT_MS)
    }

    /** Ends the node immediately and closes all connections. */
    fun kill() {
        subscriptions.forEach { it.cancel() }
        ingressListener.closeNow()
        egressListener.closeNow()
        apiListener.closeNow()
        additionalListeners.forEach { (_, listener) -> listener.closeNow() }
        apiGroup.shutdownGracefully(0, KILL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        group.shutdownGracefully(0, KILL_TIMEOUT_MS, TimeUnit.MILLISECONDS).await(KILL_TIMEOUT_MS)
    }

    // Returns whether all tasks are done [timeoutMs] milliseconds after [startNanos].
    private fun awaitAll(
        tasks: List<Future<*>>,
        startNanos: Long,
        timeoutMs: Long,
    ): Boolean =
        tasks.all { task ->
            val leftMs = timeoutMs - (System.nanoTime() - startNanos) / NANOS_PER_MILLI
            task.await(leftMs.coerceAtLeast(0), TimeUnit.MILLISECONDS)
        }

    private fun isIdle() = ingressListener.isIdle && egressListener.isIdle

    private fun isFlushed() = ingressListener.isFlushed && egressListener.isFlushed

    private fun isLingerTimeOver(): Boolean {
        val lastLingerNanos = maxOf(ingressListener.lastLingerNanos, egressListener.lastLingerNanos)
        return isFlushed() && System.nanoTime() - lastLingerNanos > TimeUnit.MILLISECONDS.toNanos(LINGER_WAIT_MS)
    }

    private fun openWork(source: CallSource): OpenWork =
        when (source) {
            CallSource.CALLERS -> egressListener.openWork
            CallSource.NODES -> ingressListener.openWork
        }

    private fun observer(source: CallSource) = UnansweredCallReporter(source, dialect, metrics, unansweredCallLog) { stopReport.isStopping }

    private fun egressHandler() =
        EgressHandler(
            EgressEnvironment(
                settings,
                fleet,
                EndpointIndex(fleet),
                router,
                serviceTable,
                retryAllowances,
                loopContexts,
                metrics,
                spans,
                keys,
                dialect,
                decisionLog,
                RequestAgeEstimator(),
                stopDeadline,
                runningRequests,
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
                statements,
                admission,
                retryAllowances,
                loopContexts,
                crashReporter,
                metrics,
                spans,
                keys,
                dialect,
                admissionTicker,
                fleet.self.nodeId,
                decisionLog,
                runningRequests,
            ),
        )

    private companion object {
        val log = KotlinLogging.logger {}

        const val LEASE_CHECK_PERIOD_MS = 500L
        const val ADMISSION_TICK_PERIOD_MS = 10L
        const val QUARANTINE_CHECK_PERIOD_MS = 1_000L
        const val SERVICE_SWEEP_PERIOD_MS = 60_000L
        const val DEFAULT_MAX_QUEUE = 40
        const val KILL_TIMEOUT_MS = 2_000L
        const val IDLE_POLL_PERIOD_MS = 10L
        const val REPORT_TIMEOUT_MS = 100L

        // A longer wait for callers that keep their connections open would delay the restart of the node.
        const val LINGER_WAIT_MS = 2_900L
        const val MILLIS_PER_SECOND = 1_000.0
        val MAX_SERVICE_IDLE_NANOS = TimeUnit.MINUTES.toNanos(10)
    }
}
