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
import dev.lycheehill.node.target.BackendProbe
import dev.lycheehill.node.target.HeartbeatTracker
import dev.lycheehill.node.target.LocalTarget
import dev.lycheehill.platformlog.keyed.KeyedStore
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import java.util.concurrent.TimeUnit

/**
 * One whole node of a deployment whose nodes meet at the platform's store: data path, part in the fleet, listeners.
 *
 * Everything runs on one event loop, so a node costs one thread.
 *
 * @param store makes the client of the store on the node's event loop.
 * @param listeners makes the listeners of the deployment.
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

    /** Timers on the event loop of the node. */
    val timers = EventLoopTimers(eventLoop)
    private val metrics = NodeMetrics(isDeferred = true)
    private val decisions = DecisionLog()
    private val seed = settings.nodeId.hashCode().toLong() xor timers.nowNanos()
    private val peers = PeerLink(settings.peer, group, eventLoop, metrics)

    /** The node's part in the fleet. */
    val fleet = StoreFleet(identity(), store(eventLoop), decoder, peers, timers, seed = seed, onChange = ::changed)

    private val node =
        LycheehillNode(
            settings = dataPathSettings(),
            fleet = fleet,
            timers = timers,
            policies = policies,
            transport = Transport.NIO,
            metrics = metrics,
            evidence = peers,
            dialect = dialect,
            networkOptions =
                NodeNetworkOptions(
                    group = group,
                    listeners = listeners(this),
                ),
        )

    /** Heartbeats of the backend server beside this node. */
    val heartbeats = HeartbeatTracker(node.target, settings.service, settings.backend.toString(), settings.leaseMs, decisions)
    private val probe =
        BackendProbe(
            caller = NodeHttpClient(eventLoop, settings.connectTimeoutMs, keepAliveIdleS = 0),
            fleet = fleet,
            dialect = dialect,
            register = heartbeats,
            service = settings.service,
            address = settings.backend.toString(),
        )

    @Volatile
    private var stopping = false

    /** The backend server beside this node. */
    val target: LocalTarget get() = node.target

    /** Whether callers should be sent here: there is a configuration, and the node does not stop. */
    val isReady: Boolean get() = !stopping && fleet.isReady

    /** Starts to serve and to follow the store. */
    fun start() {
        metrics.bindGauge(NodeMeter.LOG_UP) { if (fleet.isStoreFailing) 0 else 1 }
        MemberState.entries.forEach { state -> metrics.bindMembers(state) { fleet.members().values.count { it.state == state } } }
        peers.addresses = { (fleet.members() - settings.nodeId).values.map { it.controlAddress } }
        peers.onCrash = { evidence ->
            node.quarantine.onCrash(evidence, timers.wallMillis())
            decisions.write("crash-reported", "fingerprint" to evidence.fingerprint, "member" to evidence.nodeId)
        }
        peers.onSuccess = { node.quarantine.onSuccess(it, timers.wallMillis()) }
        peers.start()
        node.start()
        eventLoop.submit(fleet::start).sync()
        timers.after(METERS_AFTER_MS, metrics::stopDeferring)
        log.info { "node ${settings.nodeId} of service ${settings.service} in zone ${settings.zone} serves" }
    }

    /** Stops gracefully: callers are told first, calls in flight end, others learn that the node has left. */
    fun stop() {
        val startNanos = System.nanoTime()
        stopping = true
        log.info { "stopping; calls in flight: ${target.inFlight}" }
        eventLoop.submit { node.drain() }.sync()
        Thread.sleep(settings.leaveNoticeMs)
        val elapsedMs = (System.nanoTime() - startNanos) / NANOS_PER_MILLI
        node.closeGracefully(settings.stopMs - elapsedMs)
        eventLoop.submit(fleet::leave).sync()
        Thread.sleep(LAST_WRITE_MS)
        log.info { "stopped after ${(System.nanoTime() - startNanos) / NANOS_PER_MILLI} ms" }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    /** Ends at once, as when the process is killed. */
    fun kill() {
        eventLoop.submit(fleet::stop).sync()
        peers.stop()
        node.kill()
    }

    private fun identity() =
        MemberRecord(
            nodeId = settings.nodeId,
            // Above that of an earlier process of this node, unless the clock was set back; then it is raised later.
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
            callerIdleTimeoutMs = CALLER_IDLE_MS,
            connectTimeoutMs = settings.connectTimeoutMs,
            targetLeaseMs = settings.leaseMs,
            deadlineGraceMs = settings.deadlineGraceMs,
            endsSilentCalls = false,
            propagatesRetryAllowance = false,
            retriesServerErrors = true,
            callerService = settings.service,
            seed = seed,
        )

    private fun changed(change: StoreFleetEvent) {
        log(change)
        if (change == StoreFleetEvent.MembersRead) timers.after(0, ::askBackend)
        if (change !is StoreFleetEvent.ConfigurationInForce) return
        timers.after(0) {
            askBackend()
            metrics.retainRoutes(
                fleet
                    .foldState()
                    .content.routes.keys,
            )
        }
    }

    // A backend server that has said before the start of this node that it leaves may still answer that it is well.
    private fun askBackend() {
        if (fleet.hasReadOwnRecord) probe.run()
    }

    private fun log(change: StoreFleetEvent) =
        when (change) {
            is StoreFleetEvent.ConfigurationInForce ->
                decisions.write("configuration-in-force", "version" to change.version, "routes" to change.routes, "source" to change.source)
            is StoreFleetEvent.ConfigurationUnreadable ->
                decisions.write("configuration-unreadable", "offset" to change.offset, "reason" to change.reason)
            StoreFleetEvent.MembersRead -> decisions.write("members-read", "members" to fleet.members().size)
            is StoreFleetEvent.Member ->
                decisions.write(
                    "member-changed",
                    "member" to change.record.nodeId,
                    "state" to change.record.state,
                    "service" to change.record.service,
                    "incarnation" to change.record.incarnation,
                )
            is StoreFleetEvent.RecordUnreadable -> decisions.write("member-unreadable", "key" to change.key, "reason" to change.reason)
            is StoreFleetEvent.StoreLost -> decisions.write("store-lost", "topic" to change.topic, "reason" to change.reason)
            is StoreFleetEvent.StoreRegained -> decisions.write("store-regained", "topic" to change.topic)
            is StoreFleetEvent.RecordNotWritten -> decisions.write("record-not-written", "reason" to change.reason)
            is StoreFleetEvent.RecordWritten ->
                decisions.write("record-written", "incarnation" to change.incarnation, "failures" to change.failures)
        }

    private companion object {
        val log = KotlinLogging.logger {}

        // Above any idle time that an operator's configuration lets callers use.
        const val CALLER_IDLE_MS = 300_000L

        // The first calls of a process take most of its processor time for about two seconds.
        const val METERS_AFTER_MS = 3_000L

        // A write to the store takes a few milliseconds.
        const val LAST_WRITE_MS = 100L
    }
}
