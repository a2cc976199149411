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
 * The members as their records and their beacons show them. A member that has fallen silent is shown as suspected.
 *
 * Written by one thread; [view] and [self] may be read by any.
 */
internal class ObservedMembers(
    identity: MemberRecord,
    private val timers: TimerService,
    private val settings: StoreFleetSettings,
) {
    private val table = MemberTable()
    private val heardAtMs = HashMap<String, Long>()
    private val versions = HashMap<String, Long>()
    private var changedAtMs = timers.nowMs()
    private var shownChanges = -1L
    private var suspected: Set<String> = emptySet()

    @Volatile
    var self: MemberRecord = identity
        private set

    /** All members by node id, with this node. */
    @Volatile
    var view: Map<String, MemberRecord> = emptyMap()
        private set

    init {
        table.merge(identity, timers.nowMs())
        show()
    }

    /** Whether any other member is known. */
    val hasPeers: Boolean get() = table.live.size > 1

    /** Whether the record of this node is so new that another node may have missed it. */
    val hasChangedRecently: Boolean get() = timers.nowMs() - changedAtMs < settings.repeatRecordMs

    fun hash(): Int = table.hash()

    /** Records of all members, with this node. */
    fun all(): List<MemberRecord> = table.live.values.toList()

    /** Record of the member [nodeId], or null when it is not known or has left. */
    fun find(nodeId: String): MemberRecord? = table.live[nodeId]

    /** Records of the other members. */
    fun peers(): List<MemberRecord> = table.live.values.filter { it.nodeId != self.nodeId }

    /** Takes a record of another member. Returns whether it was new. */
    fun merge(record: MemberRecord): Boolean {
        if (!table.merge(record, timers.nowMs())) return false
        heardAtMs[record.nodeId] = timers.nowMs()
        show()
        return true
    }

    /** A beacon of [nodeId] arrived. */
    fun heard(
        nodeId: String,
        version: Long,
    ) {
        heardAtMs[nodeId] = timers.nowMs()
        versions[nodeId] = version
        if (nodeId in suspected) review()
    }

    /** Changes the record of this node. Each change raises the incarnation, so it wins over all earlier ones. */
    fun announce(
        state: MemberState,
        service: String,
        slots: Int,
    ) = replaceSelf(self.copy(state = state, service = service, slots = slots, incarnation = self.incarnation + 1))

    /** Sets [departure] in the record of this node. */
    fun recordDeparture(departure: Departure?) = replaceSelf(self.copy(departure = departure, incarnation = self.incarnation + 1))

    /** Raises the incarnation above that of [record], which claims to be this node. Returns whether that was needed. */
    fun refute(record: MemberRecord): Boolean {
        if (record.bootId == self.bootId || record.incarnation < self.incarnation) return false
        replaceSelf(self.copy(incarnation = record.incarnation + 1))
        return true
    }

    /**
     * Part of this node in reading the configuration: the lookout is the first by node id of those that are heard, the
     * readers are the first of each zone, and every node that hears none of these. Nodes whose views differ may both read,
     * which costs calls and does no harm.
     */
    fun role(): ReaderRole {
        val before = view.values.filter { it.nodeId < self.nodeId && it.state < MemberState.SUSPECT }
        val readers = before.filter { it.zone == self.zone }.sortedBy { it.nodeId }.take(settings.readersPerZone)
        return when {
            before.isEmpty() -> ReaderRole.LOOKOUT
            readers.size < settings.readersPerZone || readers.all { isSilentReader(it.nodeId) } -> ReaderRole.READER
            else -> ReaderRole.LISTENER
        }
    }

    // In a large fleet a silent member is suspected late, as each sends a beacon to a part of the others only.
    private fun isSilentReader(nodeId: String): Boolean = timers.nowMs() - (heardAtMs[nodeId] ?: timers.nowMs()) > settings.readerTimeoutMs

    /** Other members of this node's zone that do not read the configuration at the store. */
    fun listenersInZone(): List<MemberRecord> =
        peers()
            .filter { it.zone == self.zone }
            .sortedBy { it.nodeId }
            .drop(settings.readersPerZone - 1)

    /** Other members that read the configuration at the store. */
    fun otherReaders(): List<MemberRecord> =
        peers()
            .groupBy { it.zone }
            .values
            .flatMap { zone -> zone.sortedBy { it.nodeId }.take(settings.readersPerZone) }

    /** A member that is heard and has a configuration above [version], of this node's zone if there is one. */
    fun sourceAbove(
        version: Long,
        random: Random,
    ): MemberRecord? {
        val newer = versions.filterValues { it > version }.keys.mapNotNull { view[it] }
        val heard = newer.filter { it.state != MemberState.SUSPECT }
        return heard.filter { it.zone == self.zone }.ifEmpty { heard }.randomOrNull(random)
    }

    /** Finds the members that have fallen silent and those that are back. */
    fun review() {
        val now = timers.nowMs()
        table.expire(now)
        val silenceMs = settings.suspectAfterMs * periods(table.live.size - 1)
        val silent = table.live.keys.filterTo(HashSet()) { it != self.nodeId && now - (heardAtMs[it] ?: now) > silenceMs }
        if (silent == suspected && table.changes == shownChanges) return
        suspected = silent
        show()
    }

    fun inForce(
        version: Long,
        ownVersion: Long,
    ): InForceReport {
        val live = view.values
        val lagging = live.filter { (if (it.nodeId == self.nodeId) ownVersion else versions[it.nodeId] ?: 0) < version }
        return InForceReport(
            version = version,
            nodes = live.size,
            nodesInForce = live.size - lagging.size,
            laggingZones = lagging.mapTo(HashSet()) { it.zone },
            laggingNodes = lagging.take(SHOWN_NODES).mapTo(HashSet()) { it.nodeId },
        )
    }

    // Beacons go to a part of a large fleet in each period.
    private fun periods(peers: Int): Int = if (peers <= settings.fullFanoutMaxPeers) 1 else 1 + (peers - 1) / settings.heartbeatFanout

    private fun replaceSelf(next: MemberRecord) {
        self = next
        changedAtMs = timers.nowMs()
        table.merge(next, timers.nowMs())
        show()
    }

    private fun show() {
        shownChanges = table.changes
        view =
            table.live.mapValues { (nodeId, record) ->
                if (nodeId in suspected && record.state < MemberState.SUSPECT) record.copy(state = MemberState.SUSPECT) else record
            }
    }

    private companion object {
        const val SHOWN_NODES = 8
    }
}
