package dev.lycheehill.fleet

import dev.lycheehill.fleet.ack.AckTree
import dev.lycheehill.fleet.dissemination.Dissemination
import dev.lycheehill.fleet.dissemination.DisseminationCounters
import dev.lycheehill.fleet.dissemination.FoldStore
import dev.lycheehill.fleet.dissemination.TransferLimiter
import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.membership.AntiEntropy
import dev.lycheehill.fleet.membership.FailureDetector
import dev.lycheehill.fleet.membership.Joiner
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.Membership
import dev.lycheehill.fleet.membership.PauseRecovery
import dev.lycheehill.fleet.membership.ZoneRanking
import dev.lycheehill.fleet.message.PeerMessage
import dev.lycheehill.fleet.message.WireMember
import kotlin.random.Random

/**
 * State machine of one node: membership, dissemination and acknowledgement of versions.
 *
 * The state machine has no thread, clock or socket of its own. All functions must be called on the control thread; outgoing messages go
 * to [outbox].
 */
internal class FleetCore(
    initial: MemberRecord,
    seeds: List<PeerAddress>,
    private val settings: FleetSettings,
    private val random: Random,
    private val store: FoldStore,
    counters: DisseminationCounters,
    private val outbox: Outbox,
    private val nowMs: () -> Long,
    private val events: FleetEvents,
    resetLink: (PeerAddress) -> Unit,
) {
    val membership = Membership(initial, settings.membership, random, outbox, ::onMemberChange)
    val dissemination = Dissemination(store, membership, settings.dissemination, random, outbox, counters, events::onConfig)
    val ackTree = AckTree(membership, { store.state.version }, outbox)
    private val detector = FailureDetector(membership, settings.membership, random, outbox, resetLink)
    private val antiEntropy = AntiEntropy(membership, random, outbox)
    private val joiner = Joiner(membership, seeds, random, outbox)
    private val pauseRecovery = PauseRecovery(membership, settings.membership.leaseMs, random, outbox, events::onServing)
    private val readerRanking = ZoneRanking(membership.table, "reader")
    private val joinLimiter = TransferLimiter(settings.dissemination.maxTransfers)
    private val startedMs = nowMs()
    private var nextDigestMs = startedMs + random.nextLong(settings.membership.digestPeriodMs)
    private var digests = 0L

    /** Whether this node may serve; false after a pause of the process longer than the lease, until a peer has answered. */
    val serving: Boolean get() = pauseRecovery.serving

    /** Returns whether this node follows the log for its zone. A joining node does not, to protect the log after a mass restart. */
    fun isReader(): Boolean {
        val settled = joiner.hasJoined || nowMs() - startedMs >= settings.joinTimeoutMs
        return settled && membership.self.nodeId in readersOf(membership.self.zone)
    }

    /** Returns the ids of the readers of all zones. */
    fun allReaders(): List<String> = membership.table.liveZones().flatMap(::readersOf)

    fun onTick(nowMs: Long) {
        if (pauseRecovery.onTick(nowMs)) detector.onPause(nowMs)
        joiner.onTick(nowMs)
        antiEntropy.onTick(nowMs)
        detector.onTick(nowMs)
        membership.onTick(nowMs)
        dissemination.onTick(nowMs)
        ackTree.onTick(nowMs)
        if (nowMs >= nextDigestMs) sendDigests(nowMs)
    }

    fun onMessage(
        from: PeerAddress,
        message: PeerMessage,
        nowMs: Long,
    ) {
        when (message) {
            is PeerMessage.Ping -> learn(message.members, nowMs).also { detector.onPing(from, message, nowMs) }
            is PeerMessage.Ack -> onAck(message, nowMs)
            is PeerMessage.IndirectPing -> learn(message.members, nowMs).also { detector.onIndirectPing(from, message, nowMs) }
            is PeerMessage.Gossip -> learn(message.members, nowMs).also { message.broadcasts.forEach(events::onBroadcastReceived) }
            is PeerMessage.Join -> onJoin(from, message, nowMs)
            is PeerMessage.Digest -> onDigest(from, message, nowMs)
            is PeerMessage.BucketHashes -> antiEntropy.onBucketHashes(from, message, nowMs)
            is PeerMessage.BucketIndex -> antiEntropy.onBucketIndex(from, message, nowMs)
            is PeerMessage.MemberSync -> onSync(from, message, nowMs)
            else -> onOtherMessage(from, message, nowMs)
        }
    }

    private fun onOtherMessage(
        from: PeerAddress,
        message: PeerMessage,
        nowMs: Long,
    ) {
        when (message) {
            is PeerMessage.Announce -> dissemination.onPosition(from, message.nextOffset, message.chain, nowMs)
            is PeerMessage.RecordsRequest -> dissemination.onRequest(from, message, nowMs)
            is PeerMessage.Records -> dissemination.onRecords(from, message, nowMs)
            is PeerMessage.SnapshotRequest -> dissemination.onSnapshotRequest(from, message, nowMs)
            is PeerMessage.SnapshotPart -> dissemination.onSnapshotPart(from, message, nowMs)
            is PeerMessage.Busy -> dissemination.onBusy(from, message, nowMs)
            is PeerMessage.ZoneAck -> ackTree.onAck(message, nowMs)
            is PeerMessage.StatusRequest -> ackTree.onStatusRequest(from, nowMs)
            is PeerMessage.ZoneStatus -> ackTree.onStatus(message, nowMs)
            is PeerMessage.Request -> events.onRequest(from, message)
            is PeerMessage.Response -> events.onResponse(message)
            else -> Unit
        }
    }

    private fun readersOf(zone: String): List<String> = readerRanking.rank(zone).take(settings.dissemination.readersPerZone)

    private fun learn(
        members: List<WireMember>,
        nowMs: Long,
    ) = members.forEach { membership.learn(it, nowMs) }

    private fun onAck(
        ack: PeerMessage.Ack,
        nowMs: Long,
    ) {
        learn(ack.members, nowMs)
        pauseRecovery.onAck(ack, nowMs)
        detector.onAck(ack, nowMs)
    }

    private fun onJoin(
        from: PeerAddress,
        message: PeerMessage.Join,
        nowMs: Long,
    ) {
        val holdMs = JOIN_HOLD_MS + membership.table.live.size / MEMBERS_PER_HOLD_MS
        if (!joinLimiter.admit(from, nowMs, holdMs)) return
        antiEntropy.onJoin(from, message, nowMs)
        outbox.send(from, dissemination.announcement())
    }

    private fun onDigest(
        from: PeerAddress,
        digest: PeerMessage.Digest,
        nowMs: Long,
    ) {
        dissemination.onPosition(from, digest.nextOffset, digest.chain, nowMs)
        antiEntropy.onDigest(from, digest.memberHash, nowMs)
    }

    private fun onSync(
        from: PeerAddress,
        message: PeerMessage.MemberSync,
        nowMs: Long,
    ) {
        joiner.onAnswer()
        antiEntropy.onSync(from, message, nowMs)
    }

    private fun sendDigests(nowMs: Long) {
        nextDigestMs = nowMs + settings.membership.digestPeriodMs
        digests++
        val own = dissemination.announcement()
        membership.randomPeer()?.let {
            val digest = PeerMessage.Digest(own.nextOffset, own.chain, antiEntropy.hashForDigest(nowMs))
            outbox.send(PeerAddress(it.controlAddress), digest)
        }
        if (digests % LOST_PEER_PERIOD_DIGESTS != 0L) return
        joiner.randomLostPeer()?.let { outbox.send(it, PeerMessage.Digest(own.nextOffset, own.chain, membership.table.hash())) }
    }

    private fun onMemberChange(record: MemberRecord) {
        detector.onMemberChange(record, nowMs())
        events.onMember(record)
    }

    private companion object {
        const val LOST_PEER_PERIOD_DIGESTS = 5L
        const val JOIN_HOLD_MS = 10L
        const val MEMBERS_PER_HOLD_MS = 50
    }
}
