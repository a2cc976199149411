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
 * The node's own record, the merged table and the gossip of changes.
 *
 * Runs on the control thread; [self] and the table's live members may be read by any thread.
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

    /** Whether this node has left; it then refutes nothing. */
    var left: Boolean = false
        private set

    /** Incarnations raised because others held this node for suspect or gone. */
    var refutations: Long = 0
        private set

    private val active = ActivePeers(table, initial.nodeId, initial.zone, random)
    private val ring = ZoneRanking(table, "ring")
    private val rumours = GossipQueue<WireMember> { it.sizeBytes }
    private val broadcasts = GossipQueue<HeldFact> { it.fact.sizeBytes }
    private val budget = ByteBudget(settings.gossipBytesPerSecond)
    private var nextGossipMs = 0L

    init {
        table.merge(initial, nowMs = 0)
        rumours.add(initial.nodeId, initial.toWire())
    }

    /** Publishes a new state of this node. Returning to an earlier state or changing the service raises the incarnation. */
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

    /** Raises the incarnation and publishes the record again. */
    fun raiseIncarnation(nowMs: Long) = publish(self.copy(incarnation = self.incarnation + 1), nowMs)

    /** Publishes that this node is gone. */
    fun leave(nowMs: Long) {
        left = true
        publish(self.copy(incarnation = self.incarnation + 1, state = MemberState.GONE), nowMs)
    }

    /** Merges [member] and passes it on if it is news. */
    fun learn(
        member: WireMember,
        nowMs: Long,
    ) {
        val record = member.toRecord() ?: return
        if (record.nodeId == self.nodeId) refute(record, nowMs) else accept(record, nowMs)
    }

    /** Merges a record from anti-entropy and passes news on if [passOn] is set. Verdicts that are older than gossip are only suspicions here. */
    fun learnFromSync(
        member: WireMember,
        nowMs: Long,
        passOn: Boolean = true,
    ) {
        val record = member.toRecord() ?: return
        if (record.nodeId == self.nodeId) return refute(record, nowMs)
        val held = table.live[record.nodeId]
        when {
            record.state != MemberState.GONE -> acceptOrConfront(record, nowMs, passOn)
            held == null -> return
            held.incarnation == record.incarnation -> accept(record.copy(state = MemberState.SUSPECT), nowMs)
            else -> accept(record, nowMs)
        }
    }

    /** Merges [record] of another member; passes it on if it is news and [passOn] is set. */
    fun accept(
        record: MemberRecord,
        nowMs: Long,
        passOn: Boolean = true,
    ): Boolean {
        if (!table.merge(record, nowMs)) return false
        if (passOn) rumours.add(record.nodeId, record.toWire())
        onChange(record)
        return true
    }

    /** Gossips [fact] until it has been sent often enough or has expired. */
    fun spread(
        fact: WireBroadcast,
        expiresAtMs: Long,
    ) = broadcasts.add(fact.id, HeldFact(fact, expiresAtMs))

    /** Changes to add to a message that is sent anyway. */
    fun piggyback(nowMs: Long): List<WireMember> {
        val taken = rumours.take(minOf(PIGGYBACK_BYTES, budget.available(nowMs)), sendLimit())
        budget.take(taken.sumOf { it.sizeBytes })
        return taken
    }

    fun onTick(nowMs: Long) {
        if (nowMs < nextGossipMs) return
        nextGossipMs = nowMs + settings.gossipPeriodMs
        table.expire(nowMs)
        active.onTick(nowMs)
        repeat(settings.gossipFanout) { gossipOnce(nowMs) }
    }

    /** Sends the pending changes to as many peers as a limit of sends allows, without waiting for the next period. */
    fun flush(nowMs: Long) = repeat(FLUSH_PEERS) { gossipOnce(nowMs) }

    /** A random other member; one in [outsideOneIn] is of another zone. */
    fun randomPeer(outsideOneIn: Int = 10): MemberRecord? {
        val outside = random.nextInt(outsideOneIn) == 0
        val preferred = if (outside) table.randomOutside(self.zone, random) else randomInOwnZone()
        return preferred ?: if (outside) randomInOwnZone() else table.randomOutside(self.zone, random)
    }

    /** Up to [count] different peers of the active sample, the first of them from another zone where there is one. */
    fun randomPeers(count: Int): Set<MemberRecord> = active.sample(count)

    /**
     * Up to [count] peers to announce to: random ones, and the next member on a ring over the own zone.
     *
     * Random choice alone misses a member with probability e^-count; the ring reaches it through its predecessor.
     */
    fun announcePeers(count: Int): Set<MemberRecord> {
        val ids = ring.rank(self.zone)
        val next = ids.getOrNull((ids.indexOf(self.nodeId) + 1) % maxOf(1, ids.size))
        val successor = next?.takeIf { it != self.nodeId }?.let(table.live::get)
        return (listOfNotNull(successor) + active.sample(count)).distinct().take(count).toSet()
    }

    private fun randomInOwnZone(): MemberRecord? {
        repeat(TRIES) {
            val member = table.randomIn(self.zone, random)
            if (member != null && member.nodeId != self.nodeId) return member
        }
        return table.zoneMembers(self.zone).firstOrNull { it != self.nodeId }?.let(table.live::get)
    }

    private fun gossipOnce(nowMs: Long) {
        if (rumours.size == 0 && broadcasts.size == 0) return
        val peer = active.one(fromOutside = random.nextInt(GOSSIP_OUTSIDE_ONE_IN) == 0) ?: return
        val available = budget.available(nowMs)
        val members = rumours.take(available, sendLimit())
        val memberBytes = members.sumOf { it.sizeBytes }
        val spreading = broadcasts.take(available - memberBytes, sendLimit()).filter { it.expiresAtMs > nowMs }
        if (members.isEmpty() && spreading.isEmpty()) return
        budget.take(memberBytes + spreading.sumOf { it.fact.sizeBytes })
        val wireFacts = spreading.map { WireBroadcast(it.fact.id, it.fact.topic, it.fact.bytes, it.expiresAtMs - nowMs) }
        outbox.send(PeerAddress(peer.controlAddress), PeerMessage.Gossip(members, wireFacts))
    }

    private fun publish(
        record: MemberRecord,
        nowMs: Long,
    ) {
        self = record
        table.merge(record, nowMs)
        rumours.add(record.nodeId, record.toWire())
        onChange(record)
    }

    // Only the owner raises its incarnation. A record of an earlier process with this id may be ahead of the own one.
    private fun refute(
        record: MemberRecord,
        nowMs: Long,
    ) {
        if (left || record.incarnation < self.incarnation) return
        val contradicts = record.incarnation > self.incarnation || record.state > self.state
        if (!contradicts) return
        refutations++
        publish(self.copy(incarnation = record.incarnation + 1), nowMs)
    }

    // Tells a member that is held for gone, so that it raises its incarnation if it lives.
    private fun acceptOrConfront(
        record: MemberRecord,
        nowMs: Long,
        passOn: Boolean,
    ) {
        val gone = table.goneRecord(record.nodeId)
        if (gone == null || MemberTable.supersedes(record, gone)) {
            accept(record, nowMs, passOn)
            return
        }
        val notice = gone.toWire()
        if (budget.available(nowMs) < notice.sizeBytes) return
        budget.take(notice.sizeBytes)
        outbox.send(PeerAddress(record.controlAddress), PeerMessage.Gossip(listOf(notice)))
    }

    private fun sendLimit(): Int = 2 + 2 * ceil(log10(table.live.size + 1.0)).toInt()

    private class HeldFact(
        val fact: WireBroadcast,
        val expiresAtMs: Long,
    )

    private companion object {
        const val PIGGYBACK_BYTES = 1_024
        const val TRIES = 4
        const val FLUSH_PEERS = 8

        // Gossip crosses zones more often than probes do, so that a change reaches every zone within two rounds.
        const val GOSSIP_OUTSIDE_ONE_IN = 4
    }
}
