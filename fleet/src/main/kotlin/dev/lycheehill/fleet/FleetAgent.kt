package dev.lycheehill.fleet

import dev.lycheehill.config.fold.ConfigFold
import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.log.LogEntry
import dev.lycheehill.core.time.Subscription
import dev.lycheehill.core.time.TimerService
import dev.lycheehill.core.time.nowMs
import dev.lycheehill.fleet.dissemination.DisseminationCounters
import dev.lycheehill.fleet.dissemination.FoldStore
import dev.lycheehill.fleet.dissemination.LogReader
import dev.lycheehill.fleet.dissemination.SnapshotStream
import dev.lycheehill.fleet.link.Link
import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.fleet.message.PeerMessage
import dev.lycheehill.fleet.message.WireBroadcast
import dev.lycheehill.fleet.messenger.FleetMessenger
import dev.lycheehill.fleet.messenger.Messenger
import dev.lycheehill.platformlog.PlatformLog
import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executor
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.random.Random

/**
 * Fleet member on one node: membership, configuration and messages between nodes.
 *
 * The state machine runs on [control]; calls to the log run on [worker]. The functions of [FleetView] read immutable snapshots and may be
 * called from any thread.
 *
 * @param identity record of this node. Its incarnation is raised to the wall-clock time, so that a restarted node supersedes its
 *   previous process.
 * @param seeds addresses of nodes that this node asks to join the fleet; the address of this node is ignored.
 * @param seed seed of all random choices.
 */
class FleetAgent(
    identity: MemberRecord,
    private val link: Link,
    log: PlatformLog,
    private val timers: TimerService,
    seeds: List<PeerAddress> = emptyList(),
    private val settings: FleetSettings = FleetSettings(),
    seed: Long = Random.nextLong(),
    private val control: Executor = FleetThreads.daemon("fleet-control-${identity.nodeId}"),
    private val worker: Executor = FleetThreads.daemon("fleet-log-${identity.nodeId}", threads = 2),
    initialState: FoldState = FoldState.initial(),
) : FleetView {
    /** Counters of dissemination. */
    val counters = DisseminationCounters()

    private val random = Random(seed)
    private val onControl = Executor { task -> onControl(task::run) }
    private val store = FoldStore(initialState, ConfigFold::apply)
    private val configListeners = CopyOnWriteArrayList<(FoldState) -> Unit>()
    private val memberListeners = CopyOnWriteArrayList<(MemberRecord) -> Unit>()
    private val servingListeners = CopyOnWriteArrayList<(Boolean) -> Unit>()

    private val core =
        FleetCore(
            initial = identity.copy(incarnation = maxOf(identity.incarnation, timers.wallMillis()), bootId = timers.wallMillis()),
            seeds = seeds,
            settings = settings,
            random = random,
            store = store,
            counters = counters,
            outbox = { peer, message -> link.send(peer, message) },
            nowMs = timers::nowMs,
            events = Events(),
            resetLink = link::reset,
        )
    private val moduleMessenger = Messenger(core.membership, link, onControl, Random(seed + 1), timers::nowMs)
    private val snapshots =
        SnapshotStream(
            log = log,
            control = onControl,
            worker = worker,
            nowMs = timers::nowMs,
            current = core.dissemination::snapshot,
            onSnapshot = { core.dissemination.onLogSnapshot(it, timers.nowMs()) },
        )
    private val reader =
        LogReader(
            log = log,
            store = store,
            settings = settings.dissemination,
            random = Random(seed + 2),
            control = onControl,
            worker = worker,
            nowMs = timers::nowMs,
            isReader = { !stopped && core.isReader() },
            onEntries = ::onLogEntries,
            onRecordsDropped = { snapshots.catchUp() },
            onDivergence = ::onDivergence,
        )

    @Volatile
    private var stopped = false
    private val subscriptions = CopyOnWriteArrayList<Subscription>()

    /** Messenger by which other modules communicate between nodes. */
    val messenger: FleetMessenger get() = moduleMessenger

    /** Whether this node may serve; false after a pause of the process longer than the lease, until a peer has answered. */
    @Volatile
    var serving: Boolean = true
        private set

    /** Reason why this node does not follow the log, or null when it does. */
    val logDivergence: String? get() = reader.divergence

    /** Number of snapshots that this node has written to the log. */
    val snapshotsWritten: Long get() = snapshots.written

    /** Traffic counters of the link. */
    val traffic get() = link.counters

    override val self: MemberRecord get() = core.membership.self

    override fun members(): Map<String, MemberRecord> = core.membership.table.live

    override fun foldState(): FoldState = store.state

    /** Calls [listener] on the control thread with each new configuration state. It must not block. */
    fun onConfigChange(listener: (FoldState) -> Unit): Subscription = subscribe(configListeners, listener)

    /** Calls [listener] on the control thread with each changed member record, including records of gone members. It must not block. */
    fun onMemberChange(listener: (MemberRecord) -> Unit): Subscription = subscribe(memberListeners, listener)

    /** Calls [listener] on the control thread when [serving] changes. It must not block. */
    fun onServingChange(listener: (Boolean) -> Unit): Subscription = subscribe(servingListeners, listener)

    /** Starts to receive messages, joins the fleet and follows the configuration. */
    fun start() {
        link.start { from, message -> onControl { core.onMessage(from, message, timers.nowMs()) } }
        subscriptions += timers.every(settings.tickMs) { onControl(::tick) }
    }

    override fun announce(
        state: MemberState,
        service: String,
        slots: Int,
    ) = onControl { core.membership.announce(state, service, slots, timers.nowMs()) }

    /** Announces that this node leaves the fleet, then stops. The returned future completes when the agent has stopped. */
    fun leave(): CompletableFuture<Unit> {
        val result = CompletableFuture<Unit>()
        onControl {
            core.membership.leave(timers.nowMs())
            core.membership.flush(timers.nowMs())
        }
        timers.after(settings.leaveLingerMs) {
            stop()
            result.complete(Unit)
        }
        return result
    }

    /** Stops without an announcement, as in a crash. Peers detect the failure by their probes. */
    fun stop() {
        if (stopped) return
        stopped = true
        subscriptions.forEach { it.cancel() }
        link.close()
        runCatching { control.execute { moduleMessenger.stop() } }
        listOf(control, worker).filterIsInstance<FleetThreads.Owned>().forEach { it.close() }
    }

    /**
     * Counts the nodes on which [version] or a later one is in force.
     *
     * Waits up to [FleetSettings.inForceWaitMs] for the summaries of the zones, so it must not be called on the control thread.
     */
    override fun inForce(version: Long): InForceReport {
        val askedMs = timers.nowMs()
        onControl { core.ackTree.startPolling(askedMs) }
        val deadlineMs = askedMs + settings.inForceWaitMs
        var report = reportInForce(version, askedMs)
        while (!report.fresh && timers.nowMs() < deadlineMs) {
            Thread.sleep(IN_FORCE_POLL_PERIOD_MS)
            report = reportInForce(version, askedMs)
        }
        return report.report
    }

    private fun reportInForce(
        version: Long,
        sinceMs: Long,
    ): FreshReport {
        val result = CompletableFuture<FreshReport>()
        onControl { result.complete(FreshReport(core.ackTree.inForce(version, timers.nowMs()), core.ackTree.isFresh(sinceMs))) }
        return try {
            result.get(CONTROL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        } catch (e: TimeoutException) {
            logger.warn(e) { "control thread did not report the versions in force in time" }
            FreshReport(unknownReport(version), fresh = true)
        }
    }

    private fun unknownReport(version: Long): InForceReport {
        val live = members()
        return InForceReport(version, nodes = live.size, nodesInForce = 0, laggingZones = live.values.map { it.zone }.toSet())
    }

    private fun tick() {
        if (stopped) return
        val now = timers.nowMs()
        core.onTick(now)
        moduleMessenger.onTick(now)
        reader.poll()
        val mayWrite = core.isReader() && reader.divergence == null
        if (mayWrite) snapshots.onTick(self.nodeId, core.allReaders(), reader.caughtUpAtMs)
    }

    private fun onLogEntries(entries: List<LogEntry>): Boolean {
        val consistent = core.dissemination.onLogEntries(entries, timers.nowMs())
        if (entries.isNotEmpty()) timers.after(NEXT_POLL_DELAY_MS) { onControl(reader::poll) }
        return consistent
    }

    private fun onDivergence(reason: String) {
        counters.divergences.incrementAndGet()
        logger.error { "log_divergence node=${self.nodeId} reason=\"$reason\"" }
    }

    private fun onControl(task: () -> Unit) {
        try {
            control.execute { if (!stopped) task() }
        } catch (e: RejectedExecutionException) {
            logger.trace(e) { "control executor has stopped; dropping a task" }
        }
    }

    private fun <T> subscribe(
        listeners: MutableList<(T) -> Unit>,
        listener: (T) -> Unit,
    ): Subscription {
        listeners += listener
        return Subscription { listeners -= listener }
    }

    private inner class Events : FleetEvents {
        override fun onConfig(state: FoldState) = configListeners.forEach { it(state) }

        override fun onMember(record: MemberRecord) = memberListeners.forEach { it(record) }

        override fun onServing(serving: Boolean) {
            this@FleetAgent.serving = serving
            logger.info { "serving=$serving node=${self.nodeId}" }
            servingListeners.forEach { it(serving) }
        }

        override fun onBroadcastReceived(broadcast: WireBroadcast) = moduleMessenger.onBroadcastReceived(broadcast)

        override fun onRequest(
            from: PeerAddress,
            message: PeerMessage.Request,
        ) = moduleMessenger.onRequestMessage(from, message)

        override fun onResponse(message: PeerMessage.Response) = moduleMessenger.onResponse(message)
    }

    private class FreshReport(
        val report: InForceReport,
        val fresh: Boolean,
    )

    private companion object {
        val logger = KotlinLogging.logger {}
        const val NEXT_POLL_DELAY_MS = 5L
        const val IN_FORCE_POLL_PERIOD_MS = 20L
        const val CONTROL_TIMEOUT_MS = 2_000L
    }
}
