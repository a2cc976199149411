package dev.lycheehill.fleet.membership

import dev.lycheehill.fleet.Outbox
import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.message.PeerMessage
import dev.lycheehill.fleet.message.WireMember
import dev.lycheehill.fleet.message.toWire
import kotlin.random.Random

/**
 * Repairs differences between two membership tables, and gives a starting node its first table.
 *
 * The tables are compared by one hash, then by the hash of each bucket, then by the hash of each record in differing
 * buckets; only differing records are exchanged.
 */
internal class AntiEntropy(
    private val membership: Membership,
    private val random: Random,
    private val outbox: Outbox,
) {
    private var seenChanges = 0L
    private var changedAtMs = 0L
    private var syncedAtMs = 0L

    /** Bytes of member records sent by synchronisation. */
    var syncBytes: Long = 0
        private set

    fun onTick(nowMs: Long) {
        if (membership.table.changes == seenChanges) return
        seenChanges = membership.table.changes
        changedAtMs = nowMs
    }

    /**
     * Hash for the next digest, or null while gossip still changes the table.
     *
     * Comparing tables during a change would transfer records that gossip is about to deliver, so a comparison waits for
     * a quiet table, but not for ever.
     */
    fun hashForDigest(nowMs: Long): Int? = if (mayCompare(nowMs)) membership.table.hash() else null

    fun onDigest(
        from: PeerAddress,
        memberHash: Int?,
        nowMs: Long,
    ) {
        if (memberHash == null || memberHash == membership.table.hash() || !mayCompare(nowMs)) return
        syncedAtMs = nowMs
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
        syncedAtMs = nowMs
        // Each side repairs at most some buckets at a time; the next digests find the others.
        val perBucket = 1 + membership.table.live.size / MemberTable.BUCKETS
        val buckets = differing.take(maxOf(1, MAX_INDEX_ENTRIES / perBucket))
        outbox.send(from, PeerMessage.BucketIndex(buckets, MemberIndex.encode(membership.table.liveIn(buckets.toSet()))))
    }

    fun onBucketIndex(
        from: PeerAddress,
        message: PeerMessage.BucketIndex,
        nowMs: Long,
    ) {
        syncedAtMs = nowMs
        val buckets = message.buckets.toSet()
        val theirs = MemberIndex.decode(message.index)
        val live = membership.table.liveIn(buckets)
        val own = live.associate { MemberTable.idHash(it.nodeId) to MemberTable.recordHash(it) }
        val lacking = live.filter { theirs[MemberTable.idHash(it.nodeId)] != MemberTable.recordHash(it) }
        val gone = membership.table.goneIn(buckets).filter { MemberTable.idHash(it.nodeId) in theirs }
        val wanted = theirs.filter { (id, record) -> own[id] != record }.keys.toList()
        if (lacking.isEmpty() && gone.isEmpty() && wanted.isEmpty()) return
        send(from, PeerMessage.MemberSync((lacking + gone).map { it.toWire() }, wanted))
    }

    fun onSync(
        from: PeerAddress,
        message: PeerMessage.MemberSync,
        nowMs: Long,
    ) {
        message.members.forEach { membership.learnFromSync(it, nowMs, passOn = !message.joining) }
        if (message.wanted.isEmpty()) return
        val wanted = message.wanted.toSet()
        val buckets = wanted.map(MemberTable::bucketOf).toSet()
        val records = membership.table.liveIn(buckets) + membership.table.goneIn(buckets)
        send(from, PeerMessage.MemberSync(records.filter { MemberTable.idHash(it.nodeId) in wanted }.map { it.toWire() }))
    }

    /** Answers a starting node with the whole table, in frames of bounded size. */
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

    private fun mayCompare(nowMs: Long): Boolean = nowMs - changedAtMs >= QUIET_MS || nowMs - syncedAtMs >= MAX_WAIT_MS

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
        const val QUIET_MS = 2_000L
        const val MAX_WAIT_MS = 10_000L
        const val MAX_INDEX_ENTRIES = 2_048
        const val JOIN_FRAME_BYTES = 262_144
    }
}
