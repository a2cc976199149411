package dev.lycheehill.fleet.store

import dev.lycheehill.core.time.TimerService
import dev.lycheehill.core.time.nowMs
import dev.lycheehill.fleet.InForceReport
import dev.lycheehill.fleet.membership.Departure
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.fleet.membership.MemberTable
import dev.lycheehill.platformlog.keyed.ReaderRole
import kotlin.random.Random

/**
 * Members of the fleet according to their records and heartbeats. A member without recent heartbeats appears as
 * [MemberState.SUSPECT] in [view].
 *
 * Confined to one thread, except that [view] and [self] may be read by any thread.
 */
internal class ObservedMembers(
    identity: MemberRecord,
    private val timers: TimerService,
    private val settings: StoreFleetSettings,
) {
    private val table = MemberTable()
    private val lastHeardAtMs = HashMap<String, Long>()
    private val versionByNodeId = HashMap<String, Long>()
    private var selfChangedAtMs = timers.nowMs()
    private var changesInView = -1L
    private var suspectedNodeIds: Set<String> = emptySet()

    @Volatile
    var self: MemberRecord = identity
        private set

    /** All members by node id, including this node. */
    @Volatile
    var view: Map<String, MemberRecord> = emptyMap()
        private set

    init {
        table.merge(identity, timers.nowMs())
        updateView()
    }

    /** Whether any other member is known. */
    val hasPeers: Boolean get() = table.live.size > 1

    /** Whether the record of this node changed so recently that other nodes may not have received the change. */
    val hasSelfChangedRecently: Boolean get() = timers.nowMs() - selfChangedAtMs < settings.repeatRecordMs

    fun hash(): Int = table.hash()

    /** Returns the records of all members, including this node. */
    fun all(): List<MemberRecord> = table.live.values.toList()

    /** Returns the record of the member [nodeId], or null when the member is unknown or gone. */
    fun find(nodeId: String): MemberRecord? = table.live[nodeId]

    /** Returns the tombstone of the member [nodeId], or null when the member is not known to be gone. */
    fun tombstone(nodeId: String): MemberRecord? = table.goneRecord(nodeId)

    /** Returns the records of all members except this node. */
    fun peers(): List<MemberRecord> = table.live.values.filter { it.nodeId != self.nodeId }

    /** Merges [record] of another member and returns whether the record replaced an older one or was the first. */
    fun merge(record: MemberRecord): Boolean {
        if (!table.merge(record, timers.nowMs())) return false
        lastHeardAtMs[record.nodeId] = timers.nowMs()
        updateView()
        return true
    }

    /** Records a heartbeat from [nodeId], on which configuration [version] is in force. */
    fun recordHeartbeat(
        nodeId: String,
        version: Long,
    ) {
        lastHeardAtMs[nodeId] = timers.nowMs()
        versionByNodeId[nodeId] = version
        if (nodeId in suspectedNodeIds) updateSuspicions()
    }

    /** Updates the record of this node. Each update raises the incarnation, so that the new record supersedes all earlier ones. */
    fun announce(
        state: MemberState,
        service: String,
        slots: Int,
    ) = replaceSelf(self.copy(state = state, service = service, slots = slots, incarnation = self.incarnation + 1))

    /** Sets [departure] in the record of this node. */
    fun recordDeparture(departure: Departure?) = replaceSelf(self.copy(departure = departure, incarnation = self.incarnation + 1))

    /**
     * Raises the incarnation above that of [record], which carries this node's id but comes from another process.
     *
     * Returns false, without a change, when the record of this node already supersedes [record].
     */
    fun refute(record: MemberRecord): Boolean {
        if (record.bootId == self.bootId || record.incarnation < self.incarnation) return false
        replaceSelf(self.copy(incarnation = record.incarnation + 1))
        return true
    }

    /**
     * Returns the role of this node in reading the configuration from the store. Roles follow the order of the ids of members that are
     * not suspected or draining.
     *
     * The first member of the fleet is the lookout. The first members of each zone are readers, and so is a node that receives heartbeats
     * from none of the readers of its zone. Nodes with different views may take the same role, which costs additional calls but is
     * otherwise harmless.
     */
    fun role(): ReaderRole {
        val precedingNodes = view.values.filter { it.nodeId < self.nodeId && it.state < MemberState.SUSPECT }
        val readers = precedingNodes.filter { it.zone == self.zone }.sortedBy { it.nodeId }.take(settings.readersPerZone)
        return when {
            precedingNodes.isEmpty() -> ReaderRole.PROBER
            readers.size < settings.readersPerZone || readers.all { hasReaderTimedOut(it.nodeId) } -> ReaderRole.READER
            else -> ReaderRole.LISTENER
        }
    }

    // Readers have a timeout of their own because suspicion takes longer in a large fleet, where each member sends heartbeats to a
    // part of the others only.
    private fun hasReaderTimedOut(nodeId: String): Boolean =
        timers.nowMs() - (lastHeardAtMs[nodeId] ?: timers.nowMs()) > settings.readerTimeoutMs

    /** Returns the other members of this node's zone that do not read the configuration from the store. */
    fun listenersInZone(): List<MemberRecord> =
        peers()
            .filter { it.zone == self.zone }
            .sortedBy { it.nodeId }
            .drop(settings.readersPerZone - 1)

    /** Returns the members, except this node, that read the configuration from the store. */
    fun otherReaders(): List<MemberRecord> =
        peers()
            .groupBy { it.zone }
            .values
            .flatMap { zone -> zone.sortedBy { it.nodeId }.take(settings.readersPerZone) }

    /**
     * Returns a random member with a configuration newer than [version] that is not suspected, preferably from this node's zone, or
     * null when there is none.
     */
    fun peerWithNewerVersion(
        version: Long,
        random: Random,
    ): MemberRecord? {
        val newer = versionByNodeId.filterValues { it > version }.keys.mapNotNull { view[it] }
        val candidates = newer.filter { it.state != MemberState.SUSPECT }
        return candidates.filter { it.zone == self.zone }.ifEmpty { candidates }.randomOrNull(random)
    }

    /** Updates the set of suspected members according to the time of their last heartbeats. */
    fun updateSuspicions() {
        val now = timers.nowMs()
        table.expire(now)
        val timeoutMs = settings.suspectAfterMs * cyclePeriods(table.live.size - 1)
        val silentNodeIds = table.live.keys.filterTo(HashSet()) { it != self.nodeId && now - (lastHeardAtMs[it] ?: now) > timeoutMs }
        if (silentNodeIds == suspectedNodeIds && table.changes == changesInView) return
        suspectedNodeIds = silentNodeIds
        updateView()
    }

    /** Counts the members on which configuration [version] or a later one is in force. [ownVersion] is in force on this node. */
    fun inForce(
        version: Long,
        ownVersion: Long,
    ): InForceReport {
        val live = view.values
        val lagging = live.filter { (if (it.nodeId == self.nodeId) ownVersion else versionByNodeId[it.nodeId] ?: 0) < version }
        return InForceReport(
            version = version,
            nodes = live.size,
            nodesInForce = live.size - lagging.size,
            laggingZones = lagging.mapTo(HashSet()) { it.zone },
            laggingNodes = lagging.take(MAX_LAGGING_NODES).mapTo(HashSet()) { it.nodeId },
        )
    }

    // Periods until each of the peers has received one heartbeat: a large fleet is covered by several periods.
    private fun cyclePeriods(peers: Int): Int = if (peers <= settings.fullFanoutMaxPeers) 1 else 1 + (peers - 1) / settings.heartbeatFanout

    private fun replaceSelf(next: MemberRecord) {
        self = next
        selfChangedAtMs = timers.nowMs()
        table.merge(next, timers.nowMs())
        updateView()
    }

    private fun updateView() {
        changesInView = table.changes
        view =
            table.live.mapValues { (nodeId, record) ->
                if (nodeId in suspectedNodeIds && record.state < MemberState.SUSPECT) record.copy(state = MemberState.SUSPECT) else record
            }
    }

    private companion object {
        const val MAX_LAGGING_NODES = 8
    }
}
