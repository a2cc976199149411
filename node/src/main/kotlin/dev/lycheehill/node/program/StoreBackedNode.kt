package dev.lycheehill.node.program

import dev.lycheehill.core.time.NANOS_PER_MILLI
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.fleet.store.ConfigurationDecoder
import dev.lycheehill.fleet.store.StoreFleet
import dev.lycheehill.fleet.store.StoreFleetEvent
import dev.lycheehill.node.ApiListenerConfig
import dev.lycheehill.node.DataPathSettings
import dev.lycheehill.node.LycheehillNode
import dev.lycheehill.node.NodeNetworkOptions
import dev.lycheehill.node.client.NodeHttpClient
import dev.lycheehill.node.dialect.CallDialect
import dev.lycheehill.node.logging.DecisionLog
import dev.lycheehill.node.loop.EventLoopTimers
import dev.lycheehill.node.loop.Transport
import dev.lycheehill.node.metrics.NodeMeter
import dev.lycheehill.node.metrics.NodeMetrics
import dev.lycheehill.node.peer.PeerLink
import dev.lycheehill.node.policy.CallPolicies
import dev.lycheehill.node.policy.SlotPolicies
import dev.lycheehill.node.stop.GracefulStop
import dev.lycheehill.node.stop.StopSchedule
import dev.lycheehill.node.stop.StoppableNode
import dev.lycheehill.node.target.BackendProbe
import dev.lycheehill.node.target.HeartbeatTracker
import dev.lycheehill.node.target.LocalTarget
import dev.lycheehill.platformlog.keyed.KeyedStore
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.util.concurrent.Future
import java.util.concurrent.TimeUnit

/**
 * Complete node of a deployment whose nodes find each other through the platform's store. It consists of the data path, the
 * membership in the fleet and the listeners of the deployment.
 *
 * All parts run on one event loop, so a node needs only one thread.
 *
 * @param store creates the client of the store on the event loop of the node.
 * @param listeners creates the listeners of the deployment.
 */
class StoreBackedNode(
    private val settings: StoreBackedNodeSettings,
    store: (EventLoop) -> KeyedStore,
    decoder: ConfigurationDecoder,
    dialect: CallDialect,
    listeners: (StoreBackedNode) -> List<ApiListenerConfig>,
    policies: CallPolicies = SlotPolicies(),
) {
    private val group: EventLoopGroup = Transport.NIO.newGroup(1, "lycheehill")
    private val eventLoop: EventLoop = group.next() as EventLoop

    /** Timers that run on the event loop of the node. */
    val timers = EventLoopTimers(eventLoop)
    private val metrics = NodeMetrics(isDeferred = true)
    private val decisions = DecisionLog()
    private val seed = settings.nodeId.hashCode().toLong() xor timers.nowNanos()
    private val peerLink = PeerLink(settings.peer, group, eventLoop, metrics)

    /** Membership of this node in the fleet. */
    val fleet = StoreFleet(selfRecord(), store(eventLoop), decoder, peerLink, timers, seed = seed, onChange = ::onFleetEvent)

    private val node =
        LycheehillNode(
            settings = dataPathSettings(),
            fleet = fleet,
            timers = timers,
            policies = policies,
            transport = Transport.NIO,
            metrics = metrics,
            evidence = peerLink,
            dialect = dialect,
            networkOptions =
                NodeNetworkOptions(
                    group = group,
                    listeners = listeners(this),
                ),
        )

    /** Tracker that processes the heartbeats of the backend server beside this node. */
    val heartbeats = HeartbeatTracker(node.target, settings.service, settings.backend.toString(), settings.leaseMs, decisions)
    private val probe =
        BackendProbe(
            httpClient = NodeHttpClient(eventLoop, settings.connectTimeoutMs, keepAliveIdleS = 0),
            fleet = fleet,
            dialect = dialect,
            tracker = heartbeats,
            service = settings.service,
            address = settings.backend.toString(),
        )

    private val stoppable =
        object : StoppableNode {
            override fun drain(): Future<*> = eventLoop.submit { node.drain() }

            override fun closeListeners(timeoutMs: Long) = node.closeListeners(timeoutMs)

            override fun awaitResponses(timeoutMs: Long): Boolean = node.awaitResponses(timeoutMs)

            override fun leave(): Future<*> = eventLoop.submit(fleet::leave)

            override fun reportUnanswered(): Boolean = node.reportUnanswered()
        }

    private val schedule = StopSchedule.within(settings.graceMs)

    // Created at the start, because the files of the program may be replaced while it runs.
    private val gracefulStop = GracefulStop(stoppable, schedule, node.stopReport)

    @Volatile
    private var isStopping = false

    /** The backend server beside this node. */
    val target: LocalTarget get() = node.target

    /** Whether callers should send calls to this node: a configuration is in force, and the node is not stopping. */
    val isReady: Boolean get() = !isStopping && fleet.isReady

    /** Starts to serve calls and to follow the store. */
    fun start() {
        metrics.bindGauge(NodeMeter.LOG_UP) { if (fleet.isStoreFailing) 0 else 1 }
        metrics.bindGauge(NodeMeter.STORE_EPOCH) { fleet.storeEpoch }
        MemberState.entries.forEach { state -> metrics.bindMembers(state) { fleet.members().values.count { it.state == state } } }
        peerLink.addresses = { (fleet.members() - settings.nodeId).values.map { it.controlAddress } }
        peerLink.onCrash = { evidence ->
            node.quarantine.onCrash(evidence, timers.wallMillis())
            decisions.write("crash-reported", "fingerprint" to evidence.fingerprint, "member" to evidence.nodeId)
        }
        peerLink.onSuccess = { node.quarantine.onSuccess(it, timers.wallMillis()) }
        peerLink.start()
        node.start()
        eventLoop.submit(fleet::start).sync()
        timers.after(METRICS_DELAY_MS, metrics::stopDeferring)
        log.info { "node ${settings.nodeId} of service ${settings.service} in zone ${settings.zone} is serving" }
    }

    /**
     * Stops gracefully and blocks the calling thread. The node first refuses new calls to its backend server and still serves
     * its callers, so that they can be routed elsewhere. Then it waits for the calls in flight and tells the other nodes that it
     * has left.
     */
    @Suppress("TooGenericExceptionCaught")
    fun stop() {
        val startNanos = System.nanoTime()
        isStopping = true
        try {
            gracefulStop.run()
        } catch (e: Throwable) {
            // Ends in the same times with as little code as possible, because it may be that no class can be loaded any more.
            sleepUntil(schedule.drainDelayMs, startNanos)
            runCatching { node.closeListeners(timeoutMs = schedule.timeoutMs - schedule.drainDelayMs) }
            sleepUntil(schedule.timeoutMs, startNanos)
            throw e
        }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun sleepUntil(
        elapsedMs: Long,
        startNanos: Long,
    ) = Thread.sleep(maxOf(elapsedMs - (System.nanoTime() - startNanos) / NANOS_PER_MILLI, 0))

    /** Stops at once and tells no other node, like a killed process. */
    fun kill() {
        eventLoop.submit(fleet::stop).sync()
        peerLink.stop()
        node.kill()
    }

    private fun selfRecord() =
        MemberRecord(
            nodeId = settings.nodeId,
            // Higher than the incarnation of an earlier process of this node, unless the clock was set back. Then it is raised later.
            incarnation = timers.wallMillis(),
            state = MemberState.COLD,
            zone = settings.zone,
            region = settings.region,
            controlAddress = settings.peer.toString(),
            dataAddress = settings.ingress.toString(),
            bootId = seed,
        )

    private fun dataPathSettings() =
        DataPathSettings(
            egress = settings.egress,
            ingress = settings.ingress,
            localApi = settings.localApi,
            eventLoopCount = 1,
            callerIdleTimeoutMs = CALLER_IDLE_TIMEOUT_MS,
            connectTimeoutMs = settings.connectTimeoutMs,
            targetLeaseMs = settings.leaseMs,
            deadlineGraceMs = settings.deadlineGraceMs,
            endsSilentCalls = false,
            propagatesRetryAllowance = false,
            retriesServerErrors = true,
            callerService = settings.service,
            seed = seed,
        )

    private fun onFleetEvent(event: StoreFleetEvent) {
        log(event)
        if (event == StoreFleetEvent.MembersRead) timers.after(0, ::probeBackend)
        if (event == StoreFleetEvent.DepartureLearned) heartbeats.onDepartureLearned()
        if (event !is StoreFleetEvent.ConfigurationInForce) return
        timers.after(0) {
            probeBackend()
            metrics.retainRoutes(
                fleet
                    .foldState()
                    .content.routes.keys,
            )
        }
    }

    // A backend server that has announced its departure to an earlier process of this node may still report that it is healthy,
    // so the probe waits until this node has read its own record.
    private fun probeBackend() {
        if (fleet.hasReadOwnRecord) probe.run()
    }

    private fun log(event: StoreFleetEvent) =
        when (event) {
            is StoreFleetEvent.ConfigurationInForce ->
                decisions.write("configuration-in-force", "version" to event.version, "routes" to event.routes, "source" to event.source)
            is StoreFleetEvent.ConfigurationUnreadable ->
                decisions.write("configuration-unreadable", "offset" to event.offset, "reason" to event.reason)
            StoreFleetEvent.MembersRead -> decisions.write("members-read", "members" to fleet.members().size)
            StoreFleetEvent.DepartureLearned -> decisions.write("departure-learned", "instance" to fleet.self.departure?.instanceId)
            is StoreFleetEvent.Member ->
                decisions.write(
                    "member-changed",
                    "member" to event.record.nodeId,
                    "state" to event.record.state,
                    "service" to event.record.service,
                    "incarnation" to event.record.incarnation,
                )
            is StoreFleetEvent.RecordUnreadable -> decisions.write("member-unreadable", "key" to event.key, "reason" to event.reason)
            is StoreFleetEvent.StoreLost -> decisions.write("store-lost", "topic" to event.topic, "reason" to event.reason)
            is StoreFleetEvent.StoreRegained -> decisions.write("store-regained", "topic" to event.topic)
            is StoreFleetEvent.StoreRestored ->
                decisions.write("store-restored", "epoch" to event.epoch, "version" to fleet.foldState().version)
            is StoreFleetEvent.RecordNotWritten -> decisions.write("record-not-written", "reason" to event.reason)
            is StoreFleetEvent.RecordWritten ->
                decisions.write("record-written", "incarnation" to event.incarnation, "failures" to event.failures)
        }

    private companion object {
        val log = KotlinLogging.logger {}

        // Longer than any idle time that the configuration of a caller may allow.
        const val CALLER_IDLE_TIMEOUT_MS = 300_000L

        // The first calls of a process use most of its processor time for about two seconds, so metrics are deferred until later.
        const val METRICS_DELAY_MS = 3_000L
    }
}
