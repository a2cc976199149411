package dev.lycheehill.fleet.membership

import dev.lycheehill.fleet.Outbox
import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.message.PeerMessage
import dev.lycheehill.fleet.message.WireMember
import dev.lycheehill.fleet.message.toWire
import kotlin.random.Random

/**
 * Anti-entropy: repairs differences between the member tables of two nodes, and sends a joining node the whole table.
 *
 * Two nodes compare one hash over the table, then one hash per bucket, then the hash of each record in the differing buckets. Only
 * differing records are exchanged.
 */
internal class AntiEntropy(
    private val membership: Membership,
    private val random: Random,
    private val outbox: Outbox,
) {
    private var lastSeenChanges = 0L
    private var changedAtMs = 0L
    private var comparedAtMs = 0L

    /** Estimated bytes of member records sent to repair differences. */
    var syncBytes: Long = 0
        private set

    fun onTick(nowMs: Long) {
        if (membership.table.changes == lastSeenChanges) return
        lastSeenChanges = membership.table.changes
        changedAtMs = nowMs
    }

    /**
     * Returns the table hash for the next digest, or null while gossip still changes the table.
     *
     * A comparison during a change would transfer records that gossip is about to deliver, so it waits until the table has not
     * changed for [QUIET_PERIOD_MS], but at most [MAX_COMPARISON_DELAY_MS] after the previous comparison.
     */
    fun hashForDigest(nowMs: Long): Int? = if (mayCompare(nowMs)) membership.table.hash() else null

    fun onDigest(
        from: PeerAddress,
        memberHash: Int?,
        nowMs: Long,
    ) {
        if (memberHash == null || memberHash == membership.table.hash() || !mayCompare(nowMs)) return
        comparedAtMs = nowMs
        outbox.send(from, PeerMessage.BucketHashes(membership.table.bucketHashes()))
    }

    fun onBucketHashes(
        from: PeerAddress,
        message: PeerMessage.BucketHashes,
        nowMs: Long,
    ) {
        val own = membership.table.bucketHashes()
        val differing = own.indices.filter { own[it] != message.hashes.getOrNull(it) }.shuffled(random)
        if (differing.isEmpty()) return
        comparedAtMs = nowMs
        // One exchange is limited to a number of buckets; later digests lead to the remaining ones.
        val perBucket = 1 + membership.table.live.size / MemberTable.BUCKETS
        val buckets = differing.take(maxOf(1, MAX_INDEX_ENTRIES / perBucket))
        outbox.send(from, PeerMessage.BucketIndex(buckets, MemberIndex.encode(membership.table.liveIn(buckets.toSet()))))
    }

    fun onBucketIndex(
        from: PeerAddress,
        message: PeerMessage.BucketIndex,
        nowMs: Long,
    ) {
        comparedAtMs = nowMs
        val buckets = message.buckets.toSet()
        val peerHashes = MemberIndex.decode(message.index)
        val live = membership.table.liveIn(buckets)
        val own = live.associate { MemberTable.idHash(it.nodeId) to MemberTable.recordHash(it) }
        val missingAtPeer = live.filter { peerHashes[MemberTable.idHash(it.nodeId)] != MemberTable.recordHash(it) }
        val gone = membership.table.goneIn(buckets).filter { MemberTable.idHash(it.nodeId) in peerHashes }
        val wanted = peerHashes.filter { (id, record) -> own[id] != record }.keys.toList()
        if (missingAtPeer.isEmpty() && gone.isEmpty() && wanted.isEmpty()) return
        send(from, PeerMessage.MemberSync((missingAtPeer + gone).map { it.toWire() }, wanted))
    }

    fun onSync(
        from: PeerAddress,
        message: PeerMessage.MemberSync,
        nowMs: Long,
    ) {
        message.members.forEach { membership.learnFromSync(it, nowMs, propagate = !message.joining) }
        if (message.wanted.isEmpty()) return
        val wanted = message.wanted.toSet()
        val buckets = wanted.map(MemberTable::bucketOf).toSet()
        val records = membership.table.liveIn(buckets) + membership.table.goneIn(buckets)
        send(from, PeerMessage.MemberSync(records.filter { MemberTable.idHash(it.nodeId) in wanted }.map { it.toWire() }))
    }

    /** Sends a joining node the whole table in frames of at most about [JOIN_FRAME_BYTES]. */
    fun onJoin(
        from: PeerAddress,
        message: PeerMessage.Join,
        nowMs: Long,
    ) {
        membership.learn(message.member, nowMs)
        chunks(
            membership.table.live.values
                .map { it.toWire() },
            JOIN_FRAME_BYTES,
        ).forEach {
            outbox.send(from, PeerMessage.MemberSync(it, joining = true))
        }
    }

    private fun mayCompare(nowMs: Long): Boolean = nowMs - changedAtMs >= QUIET_PERIOD_MS || nowMs - comparedAtMs >= MAX_COMPARISON_DELAY_MS

    private fun send(
        to: PeerAddress,
        message: PeerMessage.MemberSync,
    ) {
        syncBytes += message.members.sumOf { it.sizeBytes }
        outbox.send(to, message)
    }

    private fun chunks(
        members: List<WireMember>,
        maxBytes: Int,
    ): List<List<WireMember>> {
        val result = mutableListOf(mutableListOf<WireMember>())
        var bytes = 0
        members.forEach {
            bytes += it.sizeBytes
            if (bytes > maxBytes) {
                result += mutableListOf<WireMember>()
                bytes = it.sizeBytes
            }
            result.last() += it
        }
        return result
    }

    private companion object {
        const val QUIET_PERIOD_MS = 2_000L
        const val MAX_COMPARISON_DELAY_MS = 10_000L
        const val MAX_INDEX_ENTRIES = 2_048
        const val JOIN_FRAME_BYTES = 262_144
    }
}
