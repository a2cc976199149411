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
import dev.lycheehill.platformlog.keyed.EpochTrackingStore
import dev.lycheehill.platformlog.keyed.KeyedRecord
import dev.lycheehill.platformlog.keyed.KeyedStore
import dev.lycheehill.platformlog.keyed.KeyedTopic
import dev.lycheehill.platformlog.keyed.ReaderRole
import dev.lycheehill.platformlog.keyed.StoreEpoch
import dev.lycheehill.platformlog.keyed.StoreEpochTracker
import dev.lycheehill.platformlog.keyed.StoreError
import dev.lycheehill.platformlog.keyed.TopicFollower
import kotlin.random.Random

/**
 * Membership and configuration of one node in a fleet that shares the platform's store.
 *
 * The store holds the configurations and the member records. Each node reads both when it starts, and some nodes of each zone then
 * follow the configurations at the store. All nodes send each other heartbeats with their record, their version and a hash of their
 * member table, and a node that lacks data requests the data from the sender. A node whose calls the store rejects, and a zone without
 * a connection to the store, therefore still receive what any other node has.
 *
 * When the store comes back from an older copy, the nodes read the configurations again and write the records again that it has lost.
 *
 * All functions must be called on the thread of [timers], except the read functions of [FleetView], which take no lock.
 *
 * @param identity initial record of this node.
 * @param decode decoder of configuration records.
 * @param peers channel to the other nodes.
 * @param seed seed of all random choices.
 * @param onChange receives each [StoreFleetEvent], on the thread of [timers].
 */
class StoreFleet(
    identity: MemberRecord,
    store: KeyedStore,
    private val decode: ConfigurationDecoder,
    private val peers: PeerChannel,
    private val timers: TimerService,
    private val settings: StoreFleetSettings = StoreFleetSettings(),
    seed: Long,
    private val onChange: (StoreFleetEvent) -> Unit = {},
) : FleetView {
    private val random = Random(seed)
    private val members = ObservedMembers(identity, timers, settings)
    private val epochs = StoreEpochTracker(::onStoreRestored)
    private val trackedStore = EpochTrackingStore(store, epochs)
    private val publisher = RecordPublisher(trackedStore, timers, settings, random, onChange)
    private val tombstoneRepair = TombstoneRepair(trackedStore, timers, settings, random, members::tombstone)
    private val heartbeatSchedule = HeartbeatSchedule(settings, random)
    private val configurationFollower =
        TopicFollower(trackedStore, KeyedTopic.CONFIGURATION, timers, settings.follower, random, members::role, ::onConfigurationRecord) {
            onConfigurationStoreResult(it)
        }
    private val directoryReader =
        DirectoryReader(
            trackedStore,
            timers,
            settings,
            random,
            ::onMemberRecord,
            ::onDirectoryRead,
        ) { reportStoreResult(KeyedTopic.MEMBERS, it) }
    private var subscription: Subscription? = null
    private var isSyncing = false

    /** Whether this node has left or was stopped. */
    var isStopped = false
        private set

    // Whether the next period repeats the heartbeat to all nodes after a change of the own record, since single datagrams may be lost.
    private var isRepeatPending = false
    private var lastTableSyncAtMs = timers.nowMs()

    // Record of this node in the store, as of the latest read of all records; null if there was none.
    private var storedSelf: MemberRecord? = null

    /** Whether this node has received the member records since its start, including its own earlier record, if there is one. */
    var hasReadOwnRecord = false
        private set

    // Whether calls to the store currently get no answer, and when the store last began to answer again.
    private var isStoreUnresponsive = false
    private var storeBackAtMs: Long? = null

    // The hashes are empty because they identify the base of a patch, and this store holds complete versions instead of patches.
    @Volatile
    private var state = FoldState(contentHash = "", chainHash = "")

    override val self: MemberRecord get() = members.self

    /** Whether this node has a configuration, and the member records from the store or from another node. */
    val isReady: Boolean get() = state.version > 0 && (directoryReader.hasRead || members.hasPeers)

    /** Whether the last call to the store failed. */
    val isStoreFailing: Boolean get() = configurationFollower.isFailing || directoryReader.isLost

    /** Epoch of the store according to its responses; [StoreEpoch.UNKNOWN] before the first one. */
    val storeEpoch: Long get() = epochs.current

    override fun members(): Map<String, MemberRecord> = members.view

    override fun foldState(): FoldState = state

    override fun inForce(version: Long): InForceReport = members.inForce(version, state.version)

    /** Starts to follow the store and to send heartbeats. */
    fun start() {
        peers.onHeartbeat = ::onHeartbeatReceived
        peers.onRequest = ::onSyncRequest
        configurationFollower.start()
        directoryReader.read()
        subscription = timers.every(settings.heartbeatPeriodMs, ::tick)
    }

    /** Announces that this node is gone, then stops. */
    fun leave() {
        announce(MemberState.GONE)
        stop()
    }

    /** Stops without an announcement. */
    fun stop() {
        isStopped = true
        subscription?.cancel()
        configurationFollower.stop()
        directoryReader.stop()
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
        publisher.publish(self)
        sendHeartbeatToAll()
        isRepeatPending = true
    }

    // The earlier record of this node is read before it is overwritten. The second read, after the write, ensures that of two nodes
    // that start at the same time at least one finds the other.
    private fun onDirectoryRead() {
        when {
            !directoryReader.hasReadTwice -> publishAndRead()
            publisher.isLost(storedSelf) -> publisher.publish(self)
        }
        storedSelf = null
        reportMembersRead()
        sendHeartbeatToAll()
    }

    private fun publishAndRead() = publisher.publish(self) { directoryReader.read() }

    private fun reportMembersRead() {
        if (hasReadOwnRecord) return
        hasReadOwnRecord = true
        onChange(StoreFleetEvent.MembersRead)
    }

    // Other nodes receive a change by heartbeat. The store only has to tell starting nodes the addresses of the members, so a change
    // of state other than GONE is not written.
    private fun publishSelf() {
        if (self.state == MemberState.GONE) publisher.publish(self)
        sendHeartbeatToAll()
        isRepeatPending = true
    }

    private fun sendHeartbeatToAll() = sendHeartbeat(members.peers(), heartbeat(self))

    private fun announceNewVersion() {
        val receivers = if (members.role() == ReaderRole.PROBER) members.peers() else members.listenersInZone()
        sendHeartbeat(receivers, heartbeat(record = null))
    }

    private fun tick() {
        members.updateSuspicions()
        configurationFollower.checkRole()
        if (isRepeatPending) sendHeartbeatToAll()
        isRepeatPending = false
        sendHeartbeat(heartbeatSchedule.next(members.peers()), heartbeat(self.takeIf { members.hasSelfChangedRecently }))
    }

    private fun sendHeartbeat(
        receivers: List<MemberRecord>,
        heartbeat: PeerHeartbeat,
    ) = peers.send(receivers.map { it.controlAddress }, heartbeat)

    private fun heartbeat(record: MemberRecord?) =
        PeerHeartbeat(self.nodeId, self.incarnation, state.version, members.hash(), record, storeBackMs(), epochs.current)

    private fun storeBackMs(): Long? = storeBackAtMs?.let { timers.nowMs() - it }?.takeIf { it < settings.repeatRecordMs }

    private fun onHeartbeatReceived(heartbeat: PeerHeartbeat) {
        if (heartbeat.nodeId == self.nodeId) return
        heartbeat.record?.let(::merge)
        heartbeat.storeBackMs?.let(configurationFollower::onStoreRecovered)
        if (epochs.recordReport(heartbeat.storeEpoch)) onRestoreReported(heartbeat.storeEpoch)
        members.recordHeartbeat(heartbeat.nodeId, heartbeat.version)
        // An unknown sender has read this node's record from the store, and sends its own record once that is written.
        val sender = members.find(heartbeat.nodeId) ?: return
        if (sender.incarnation < heartbeat.incarnation) requestSync(sender)
        if (isBehind(heartbeat)) afterSyncDelay { catchUp(heartbeat, sender) }
    }

    // The store usually delivers the same change at the same time, so a node with access to the store waits before it asks a peer.
    // It then asks although its own read may still be due: after a change the read is delayed, and its response may be slow.
    private fun afterSyncDelay(task: () -> Unit) =
        when {
            isStoreFailing || !isReady -> task()
            members.role() == ReaderRole.LISTENER -> timers.after(random.nextLong(settings.syncJitterMs), task)
            else -> timers.after(settings.syncDelayMs, task)
        }

    private fun isBehind(heartbeat: PeerHeartbeat): Boolean = heartbeat.version > state.version || lacksMembers(heartbeat)

    private fun lacksMembers(heartbeat: PeerHeartbeat): Boolean =
        (isStoreFailing || !isReady) &&
            heartbeat.tableHash != members.hash() &&
            (!isReady || timers.nowMs() - lastTableSyncAtMs >= settings.minTableSyncPeriodMs)

    private fun catchUp(
        heartbeat: PeerHeartbeat,
        sender: MemberRecord,
    ) {
        if (heartbeat.version > state.version) {
            requestSync(members.peerWithNewerVersion(state.version, random) ?: sender)
        } else if (lacksMembers(heartbeat)) {
            lastTableSyncAtMs = timers.nowMs()
            requestSync(sender)
        }
    }

    private fun requestSync(sender: MemberRecord) {
        if (isSyncing) return
        isSyncing = true
        peers.ask(sender.controlAddress, SyncRequest(self, state.version, members.hash())) { reply ->
            isSyncing = false
            if (reply != null) {
                reply.members.forEach(::merge)
                if (reply.members.isNotEmpty()) reportMembersRead()
                reply.content?.let { apply(reply.version, it, "node ${sender.nodeId}") }
            }
        }
    }

    private fun onSyncRequest(request: SyncRequest): SyncReply {
        merge(request.sender)
        return SyncReply(
            version = state.version,
            content = state.content.takeIf { state.version > request.version },
            members = if (request.tableHash == members.hash()) emptyList() else members.all(),
        )
    }

    private fun onConfigurationRecord(record: KeyedRecord) {
        val value = record.value ?: return
        decode.decode(record.key, value).fold({ onChange(StoreFleetEvent.ConfigurationUnreadable(record.offset, it)) }) {
            if (it != null && apply(it.version, it.content, "store offset ${record.offset}")) announceNewVersion()
        }
    }

    /** Puts the configuration in force if [version] is newer than the current version, and returns whether it was. */
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

    private fun onMemberRecord(record: KeyedRecord) {
        val value = record.value ?: return
        MemberCodec.decode(value).fold({ onChange(StoreFleetEvent.RecordUnreadable(record.key, it)) }, ::onStoredMember)
    }

    private fun onStoredMember(record: MemberRecord) {
        if (record.nodeId == self.nodeId && record.invalidReason() == null) storedSelf = record
        merge(record)
        if (record.state != MemberState.GONE) repairTombstone(record)
    }

    // One node repairs for all: a node that starts would otherwise take a member that has left for one that is alive.
    private fun repairTombstone(record: MemberRecord) {
        val tombstone = members.tombstone(record.nodeId) ?: return
        if (tombstone.incarnation >= record.incarnation && members.role() == ReaderRole.PROBER) tombstoneRepair.repair(record.nodeId)
    }

    private fun merge(record: MemberRecord) {
        val invalid = record.invalidReason()
        if (invalid != null) {
            onChange(StoreFleetEvent.RecordUnreadable(record.nodeId, invalid))
            return
        }
        if (record.nodeId == self.nodeId) {
            val previousDeparture = self.departure
            if (record.bootId != self.bootId && previousDeparture == null) record.departure?.let(members::recordDeparture)
            val isDepartureNew = self.departure != previousDeparture
            if (members.refute(record) || isDepartureNew) publishSelf()
            if (isDepartureNew) onChange(StoreFleetEvent.DepartureLearned)
        } else {
            mergePeer(record)
        }
    }

    // A member that has restarted may have found no record of its earlier process, because the store has lost it. Its departure is then
    // known to the other members only.
    private fun mergePeer(record: MemberRecord) {
        val previous = members.find(record.nodeId)
        if (!members.merge(record)) return
        onChange(StoreFleetEvent.Member(record))
        val isForgotten = previous?.departure != null && record.departure == null && record.bootId != previous.bootId
        if (isForgotten) peers.send(listOf(record.controlAddress), heartbeat(previous))
    }

    // Reads of other readers that began while the store gave no answers are never answered. A heartbeat with storeBackMs makes these
    // nodes repeat their reads.
    private fun onConfigurationStoreResult(error: StoreError?) {
        reportStoreResult(KeyedTopic.CONFIGURATION, error)
        if (error == null && isStoreUnresponsive) {
            storeBackAtMs = timers.nowMs()
            sendHeartbeat(members.otherReaders(), heartbeat(record = null))
        }
        isStoreUnresponsive = error is StoreError.Unknown
    }

    // Other readers may be waiting at the store since before the restore.
    private fun onStoreRestored(epoch: Long) {
        onChange(StoreFleetEvent.StoreRestored(epoch))
        configurationFollower.reload()
        recoverRecord(epoch)
        if (members.role() == ReaderRole.PROBER) directoryReader.read()
        if (members.role() != ReaderRole.LISTENER) sendHeartbeat(members.otherReaders(), heartbeat(record = null))
    }

    // Another node reports a restore that no response of the store has shown to this node yet.
    private fun onRestoreReported(epoch: Long) {
        configurationFollower.onRestoreReported()
        recoverRecord(epoch)
    }

    // While the record of this node was lost, nodes may have started that this node does not know, so it reads all records as at its
    // start.
    private fun recoverRecord(epoch: Long) {
        timers.after(random.nextLong(settings.syncJitterMs)) { if (!isStopped && publisher.mayBeLost(epoch)) publishAndRead() }
    }

    private fun reportStoreResult(
        topic: KeyedTopic,
        error: StoreError?,
    ) = onChange(if (error == null) StoreFleetEvent.StoreRegained(topic) else StoreFleetEvent.StoreLost(topic, error.reason))
}
