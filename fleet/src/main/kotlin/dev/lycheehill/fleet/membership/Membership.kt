package dev.lycheehill.fleet.membership

import dev.lycheehill.fleet.Outbox
import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.message.PeerMessage
import dev.lycheehill.fleet.message.WireBroadcast
import dev.lycheehill.fleet.message.WireMember
import dev.lycheehill.fleet.message.toWire
import kotlin.math.ceil
import kotlin.math.log10
import kotlin.random.Random

/**
 * Membership state of one node: its own record, the member table and the gossip of changes.
 *
 * Confined to the control thread, except that [self] and the live members of [table] may be read by any thread.
 */
internal class Membership(
    initial: MemberRecord,
    private val settings: MembershipSettings,
    private val random: Random,
    private val outbox: Outbox,
    private val onChange: (MemberRecord) -> Unit = {},
) {
    val table = MemberTable(settings.goneRetentionMs)
    val address = PeerAddress(initial.controlAddress)

    /** Record of this node. */
    @Volatile
    var self: MemberRecord = initial
        private set

    /** Whether this node has left. A node that has left no longer refutes records about itself. */
    var hasLeft: Boolean = false
        private set

    /** Number of times that this node raised its incarnation to refute a record that contradicts its own. */
    var refutations: Long = 0
        private set

    private val activePeers = ActivePeers(table, initial.nodeId, initial.zone, random)
    private val zoneRing = ZoneRanking(table, "ring")
    private val memberUpdates = GossipQueue<WireMember> { it.sizeBytes }
    private val broadcasts = GossipQueue<PendingBroadcast> { it.broadcast.sizeBytes }
    private val budget = ByteBudget(settings.gossipBytesPerSecond)
    private var nextGossipMs = 0L

    init {
        table.merge(initial, nowMs = 0)
        memberUpdates.add(initial.nodeId, initial.toWire())
    }

    /** Publishes a new state of this node. The incarnation is raised unless only the state changes, to a later constant. */
    fun announce(
        state: MemberState,
        service: String,
        slots: Int,
        nowMs: Long,
    ) {
        if (state == self.state && service == self.service && slots == self.slots) return
        val forward = state > self.state && service == self.service && slots == self.slots
        val incarnation = if (forward) self.incarnation else self.incarnation + 1
        publish(self.copy(incarnation = incarnation, state = state, service = service, slots = slots), nowMs)
    }

    /** Publishes the record of this node with a higher incarnation. */
    fun raiseIncarnation(nowMs: Long) = publish(self.copy(incarnation = self.incarnation + 1), nowMs)

    /** Publishes that this node has left the fleet. */
    fun leave(nowMs: Long) {
        hasLeft = true
        publish(self.copy(incarnation = self.incarnation + 1, state = MemberState.GONE), nowMs)
    }

    /** Merges [member], and gossips the record if it is new. */
    fun learn(
        member: WireMember,
        nowMs: Long,
    ) {
        val record = member.toRecord() ?: return
        if (record.nodeId == self.nodeId) refute(record, nowMs) else accept(record, nowMs)
    }

    /**
     * Merges a record from anti-entropy, and gossips a new record if [propagate] is set.
     *
     * A GONE record with the incarnation that is known here only marks the member as suspected. The record may be outdated, and the
     * member can refute a suspicion.
     */
    fun learnFromSync(
        member: WireMember,
        nowMs: Long,
        propagate: Boolean = true,
    ) {
        val record = member.toRecord() ?: return
        if (record.nodeId == self.nodeId) return refute(record, nowMs)
        val known = table.live[record.nodeId]
        when {
            record.state != MemberState.GONE -> acceptOrNotify(record, nowMs, propagate)
            known == null -> return
            known.incarnation == record.incarnation -> accept(record.copy(state = MemberState.SUSPECT), nowMs)
            else -> accept(record, nowMs)
        }
    }

    /** Merges [record] of another member, gossips it if it is new and [propagate] is set, and returns whether it was new. */
    fun accept(
        record: MemberRecord,
        nowMs: Long,
        propagate: Boolean = true,
    ): Boolean {
        if (!table.merge(record, nowMs)) return false
        if (propagate) memberUpdates.add(record.nodeId, record.toWire())
        onChange(record)
        return true
    }

    /** Gossips [broadcast] until the send limit is reached or the broadcast expires at [expiresAtMs]. */
    fun gossip(
        broadcast: WireBroadcast,
        expiresAtMs: Long,
    ) = broadcasts.add(broadcast.id, PendingBroadcast(broadcast, expiresAtMs))

    /** Takes member records to add to a message that is sent in any case. */
    fun piggyback(nowMs: Long): List<WireMember> {
        val taken = memberUpdates.take(minOf(MAX_PIGGYBACK_BYTES, budget.available(nowMs)), sendLimit())
        budget.take(taken.sumOf { it.sizeBytes })
        return taken
    }

    fun onTick(nowMs: Long) {
        if (nowMs < nextGossipMs) return
        nextGossipMs = nowMs + settings.gossipPeriodMs
        table.expire(nowMs)
        activePeers.onTick(nowMs)
        repeat(settings.gossipFanout) { gossipOnce(nowMs) }
    }

    /** Sends pending changes at once, in [FLUSH_SENDS] messages to random peers, instead of in the next gossip period. */
    fun flush(nowMs: Long) = repeat(FLUSH_SENDS) { gossipOnce(nowMs) }

    /** Returns a random member other than this node, from another zone with probability 1/[outsideOneIn], or null when there is none. */
    fun randomPeer(outsideOneIn: Int = 10): MemberRecord? {
        val outside = random.nextInt(outsideOneIn) == 0
        val preferred = if (outside) table.randomOutside(self.zone, random) else randomInOwnZone()
        return preferred ?: if (outside) randomInOwnZone() else table.randomOutside(self.zone, random)
    }

    /** Returns up to [count] distinct active peers, the first of them from another zone if there is one. */
    fun randomPeers(count: Int): Set<MemberRecord> = activePeers.sample(count)

    /**
     * Returns up to [count] peers for an announcement: the next member on a ring over the own zone, and random active peers.
     *
     * Random choice alone misses a given member with a probability of e^-count. On the ring, each member is reached by its predecessor.
     */
    fun announcePeers(count: Int): Set<MemberRecord> {
        val ids = zoneRing.rank(self.zone)
        val next = ids.getOrNull((ids.indexOf(self.nodeId) + 1) % maxOf(1, ids.size))
        val successor = next?.takeIf { it != self.nodeId }?.let(table.live::get)
        return (listOfNotNull(successor) + activePeers.sample(count)).distinct().take(count).toSet()
    }

    private fun randomInOwnZone(): MemberRecord? {
        repeat(MAX_DRAWS) {
            val member = table.randomIn(self.zone, random)
            if (member != null && member.nodeId != self.nodeId) return member
        }
        return table.zoneMembers(self.zone).firstOrNull { it != self.nodeId }?.let(table.live::get)
    }

    private fun gossipOnce(nowMs: Long) {
        if (memberUpdates.size == 0 && broadcasts.size == 0) return
        val peer = activePeers.pick(fromOutside = random.nextInt(GOSSIP_OUTSIDE_ONE_IN) == 0) ?: return
        val available = budget.available(nowMs)
        val members = memberUpdates.take(available, sendLimit())
        val memberBytes = members.sumOf { it.sizeBytes }
        val unexpired = broadcasts.take(available - memberBytes, sendLimit()).filter { it.expiresAtMs > nowMs }
        if (members.isEmpty() && unexpired.isEmpty()) return
        budget.take(memberBytes + unexpired.sumOf { it.broadcast.sizeBytes })
        val outgoing = unexpired.map { WireBroadcast(it.broadcast.id, it.broadcast.topic, it.broadcast.bytes, it.expiresAtMs - nowMs) }
        outbox.send(PeerAddress(peer.controlAddress), PeerMessage.Gossip(members, outgoing))
    }

    private fun publish(
        record: MemberRecord,
        nowMs: Long,
    ) {
        self = record
        table.merge(record, nowMs)
        memberUpdates.add(record.nodeId, record.toWire())
        onChange(record)
    }

    // Only a node itself raises its incarnation, but an earlier process with the same id may have reached a higher one.
    private fun refute(
        record: MemberRecord,
        nowMs: Long,
    ) {
        if (hasLeft || record.incarnation < self.incarnation) return
        val contradicts = record.incarnation > self.incarnation || record.state > self.state
        if (!contradicts) return
        refutations++
        publish(self.copy(incarnation = record.incarnation + 1), nowMs)
    }

    // If the member has a tombstone, sends the tombstone to the member, so that a member that is still alive raises its incarnation.
    private fun acceptOrNotify(
        record: MemberRecord,
        nowMs: Long,
        propagate: Boolean,
    ) {
        val gone = table.goneRecord(record.nodeId)
        if (gone == null || MemberTable.supersedes(record, gone)) {
            accept(record, nowMs, propagate)
            return
        }
        val notice = gone.toWire()
        if (budget.available(nowMs) < notice.sizeBytes) return
        budget.take(notice.sizeBytes)
        outbox.send(PeerAddress(record.controlAddress), PeerMessage.Gossip(listOf(notice)))
    }

    private fun sendLimit(): Int = 2 + 2 * ceil(log10(table.live.size + 1.0)).toInt()

    private class PendingBroadcast(
        val broadcast: WireBroadcast,
        val expiresAtMs: Long,
    )

    private companion object {
        const val MAX_PIGGYBACK_BYTES = 1_024
        const val MAX_DRAWS = 4
        const val FLUSH_SENDS = 8

        // Gossip crosses zones more often than probes do, so that a change reaches each zone within two gossip periods.
        const val GOSSIP_OUTSIDE_ONE_IN = 4
    }
}
