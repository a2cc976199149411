package dev.lycheehill.fleet.store

import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.core.time.Subscription
import dev.lycheehill.core.time.TimerService
import dev.lycheehill.core.time.nowMs
import dev.lycheehill.fleet.FleetView
import dev.lycheehill.fleet.InForceReport
import dev.lycheehill.fleet.membership.Departure
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.platformlog.keyed.KeyedRecord
import dev.lycheehill.platformlog.keyed.KeyedStore
import dev.lycheehill.platformlog.keyed.KeyedTopic
import dev.lycheehill.platformlog.keyed.ReaderRole
import dev.lycheehill.platformlog.keyed.StoreError
import dev.lycheehill.platformlog.keyed.TopicFollower
import kotlin.random.Random

/**
 * One node's part in a fleet that meets at the platform's store.
 *
 * Configurations and member records last at the store. Each node reads both when it starts; some nodes of each zone then
 * follow the configurations. From then on, nodes send each other beacons with their own record, their version and a hash of their table;
 * a node that finds itself behind asks the sender. So a node that the store turns away, and a zone that is cut off from
 * it, still get what another node has.
 *
 * All functions are called on the thread of [timers] but the reads of [FleetView], which take no lock.
 *
 * @param onChange told what this node believes anew, for the log.
 */
class StoreFleet(
    identity: MemberRecord,
    private val store: KeyedStore,
    private val decode: ConfigurationDecoder,
    private val peers: PeerChannel,
    private val timers: TimerService,
    private val settings: StoreFleetSettings = StoreFleetSettings(),
    seed: Long,
    private val onChange: (StoreFleetEvent) -> Unit = {},
) : FleetView {
    private val random = Random(seed)
    private val members = ObservedMembers(identity, timers, settings)
    private val publication = RecordPublisher(store, timers, settings, random, onChange)
    private val beacons = HeartbeatSchedule(settings, random)
    private val configurations =
        TopicFollower(store, KeyedTopic.CONFIGURATION, timers, settings.follower, random, members::role, ::configurationRead) {
            configurationLinkChanged(it)
        }
    private val directory =
        DirectoryReader(store, timers, settings, random, ::recordRead, ::directoryRead) { linkChanged(KeyedTopic.MEMBERS, it) }
    private var subscription: Subscription? = null
    private var syncing = false

    // Whether a change of this node's record is told once more in the next period, as single datagrams are lost.
    private var tellAgain = false
    private var tableAskedAtMs = timers.nowMs()

    /** Whether this node has read its own record of before its start, if there is one. */
    var hasReadOwnRecord = false
        private set

    // Whether calls to the store are without an answer, and when they were answered again.
    private var storeIsSilent = false
    private var storeBackAtMs: Long? = null

    // Hashes name the base of a patch; the operator of this store writes whole versions.
    @Volatile
    private var state = FoldState(contentHash = "", chainHash = "")

    override val self: MemberRecord get() = members.self

    /** Whether this node has a configuration and has read the members once, from the store or from another node. */
    val isReady: Boolean get() = state.version > 0 && (directory.isRead || members.hasPeers)

    /** Whether the last call to the store failed. */
    val isStoreFailing: Boolean get() = configurations.isLost || directory.isLost

    override fun members(): Map<String, MemberRecord> = members.view

    override fun foldState(): FoldState = state

    override fun inForce(version: Long): InForceReport = members.inForce(version, state.version)

    /** Starts to follow the store and to send beacons. */
    fun start() {
        peers.onHeartbeat = ::beaconReceived
        peers.onRequest = ::answer
        configurations.start()
        directory.read()
        subscription = timers.every(settings.heartbeatPeriodMs, ::tick)
    }

    /** Tells all that this node has left, and ends. */
    fun leave() {
        announce(MemberState.GONE)
        stop()
    }

    /** Ends at once. */
    fun stop() {
        subscription?.cancel()
        configurations.stop()
        directory.stop()
    }

    override fun announce(
        state: MemberState,
        service: String,
        slots: Int,
    ) {
        members.announce(state, service, slots)
        publishSelf()
    }

    override fun recordDeparture(departure: Departure?) {
        if (self.departure == departure) return
        members.recordDeparture(departure)
        publication.publish(self)
        tellAll()
        tellAgain = true
    }

    // The record of before the start is read before it is overwritten. Of two nodes that start at the same time, the one that
    // reads after its write finds the other.
    private fun directoryRead() {
        if (!directory.isReadAgain) publication.publish(self) { directory.read() }
        pastRead()
        tellAll()
    }

    private fun pastRead() {
        if (hasReadOwnRecord) return
        hasReadOwnRecord = true
        onChange(StoreFleetEvent.MembersRead)
    }

    // Other nodes learn a change from a beacon. The store tells nodes that start where the others are.
    private fun publishSelf() {
        if (self.state == MemberState.GONE) publication.publish(self)
        tellAll()
        tellAgain = true
    }

    private fun tellAll() = tell(members.peers(), heartbeat(self))

    private fun tellNewVersion() {
        val receivers = if (members.role() == ReaderRole.LOOKOUT) members.peers() else members.listenersInZone()
        tell(receivers, heartbeat(record = null))
    }

    private fun tick() {
        members.review()
        if (tellAgain) tellAll()
        tellAgain = false
        tell(beacons.next(members.peers()), heartbeat(self.takeIf { members.hasChangedRecently }))
    }

    private fun tell(
        receivers: List<MemberRecord>,
        heartbeat: PeerHeartbeat,
    ) = peers.send(receivers.map { it.controlAddress }, heartbeat)

    private fun heartbeat(record: MemberRecord?) =
        PeerHeartbeat(self.nodeId, self.incarnation, state.version, members.hash(), record, storeBackMs())

    private fun storeBackMs(): Long? = storeBackAtMs?.let { timers.nowMs() - it }?.takeIf { it < settings.repeatRecordMs }

    private fun beaconReceived(heartbeat: PeerHeartbeat) {
        if (heartbeat.nodeId == self.nodeId) return
        heartbeat.record?.let(::merge)
        heartbeat.storeBackMs?.let(configurations::storeWasBack)
        members.heard(heartbeat.nodeId, heartbeat.version)
        // A sender that is not known has read this node's record and sends its own when it has written it.
        val sender = members.find(heartbeat.nodeId) ?: return
        if (sender.incarnation < heartbeat.incarnation) askFor(sender)
        if (isBehind(heartbeat)) later { catchUp(heartbeat, sender) }
    }

    // Usually the store tells this node at the same time, so a node that reaches it waits for a moment.
    private fun later(task: () -> Unit) =
        when {
            isStoreFailing || !isReady -> task()
            members.role() == ReaderRole.LISTENER -> timers.after(random.nextLong(settings.syncJitterMs), task)
            else -> timers.after(settings.syncDelayMs, task)
        }

    private fun isBehind(heartbeat: PeerHeartbeat): Boolean = heartbeat.version > state.version || lacksMembers(heartbeat)

    private fun lacksMembers(heartbeat: PeerHeartbeat): Boolean =
        (isStoreFailing || !isReady) &&
            heartbeat.tableHash != members.hash() &&
            (!isReady || timers.nowMs() - tableAskedAtMs >= settings.minTableSyncPeriodMs)

    private fun catchUp(
        heartbeat: PeerHeartbeat,
        sender: MemberRecord,
    ) {
        if (heartbeat.version > state.version) {
            if (!configurations.isPausing) askFor(members.sourceAbove(state.version, random) ?: sender)
        } else if (lacksMembers(heartbeat)) {
            tableAskedAtMs = timers.nowMs()
            askFor(sender)
        }
    }

    private fun askFor(sender: MemberRecord) {
        if (syncing) return
        syncing = true
        peers.ask(sender.controlAddress, SyncRequest(self, state.version, members.hash())) { reply ->
            syncing = false
            if (reply != null) {
                reply.members.forEach(::merge)
                if (reply.members.isNotEmpty()) pastRead()
                reply.content?.let { apply(reply.version, it, "node ${sender.nodeId}") }
            }
        }
    }

    private fun answer(request: SyncRequest): SyncReply {
        merge(request.sender)
        return SyncReply(
            version = state.version,
            content = state.content.takeIf { state.version > request.version },
            members = if (request.tableHash == members.hash()) emptyList() else members.all(),
        )
    }

    private fun configurationRead(record: KeyedRecord) {
        val value = record.value ?: return
        decode.decode(record.key, value).fold({ onChange(StoreFleetEvent.ConfigurationUnreadable(record.offset, it)) }) {
            if (it != null && apply(it.version, it.content, "store offset ${record.offset}")) tellNewVersion()
        }
    }

    /** Returns whether the configuration is newer than the one in force. */
    private fun apply(
        version: Long,
        content: ConfigContent,
        source: String,
    ): Boolean {
        if (version <= state.version) return false
        state = state.copy(version = version, content = content)
        onChange(StoreFleetEvent.ConfigurationInForce(version, content.routes.size, source))
        return true
    }

    private fun recordRead(record: KeyedRecord) {
        val value = record.value ?: return
        MemberCodec.decode(value).fold({ onChange(StoreFleetEvent.RecordUnreadable(record.key, it)) }, ::merge)
    }

    private fun merge(record: MemberRecord) {
        if (!record.hasAddresses) {
            onChange(StoreFleetEvent.RecordUnreadable(record.nodeId, "an address is not ip:port"))
            return
        }
        if (record.nodeId == self.nodeId) {
            val known = self.departure
            if (record.bootId != self.bootId && known == null) record.departure?.let(members::recordDeparture)
            if (members.refute(record) || self.departure != known) publishSelf()
        } else if (members.merge(record)) {
            onChange(StoreFleetEvent.Member(record))
        }
    }

    // Reads of other nodes that began in a silence are never answered, and these nodes cannot know it.
    private fun configurationLinkChanged(error: StoreError?) {
        linkChanged(KeyedTopic.CONFIGURATION, error)
        if (error == null && storeIsSilent) {
            storeBackAtMs = timers.nowMs()
            tell(members.otherReaders(), heartbeat(record = null))
        }
        storeIsSilent = error is StoreError.Unknown
    }

    private fun linkChanged(
        topic: KeyedTopic,
        error: StoreError?,
    ) = onChange(if (error == null) StoreFleetEvent.StoreRegained(topic) else StoreFleetEvent.StoreLost(topic, error.reason))
}
