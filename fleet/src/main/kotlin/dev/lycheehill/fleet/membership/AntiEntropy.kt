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
 * The tables are compared by one hash, then by the hash of each bucket; then the records of differing buckets are exchanged.
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
        sendBuckets(from, differing, answer = true)
    }

    fun onSync(
        from: PeerAddress,
        message: PeerMessage.MemberSync,
        nowMs: Long,
    ) {
        message.members.forEach { membership.learnFromSync(it, nowMs) }
        if (message.answer) sendBuckets(from, message.buckets.filter { it in 0 until MemberTable.BUCKETS }, answer = false)
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
            outbox.send(from, PeerMessage.MemberSync(emptyList(), it))
        }
    }

    private fun mayCompare(nowMs: Long): Boolean = nowMs - changedAtMs >= QUIET_MS || nowMs - syncedAtMs >= MAX_WAIT_MS

    private fun sendBuckets(
        to: PeerAddress,
        buckets: List<Int>,
        answer: Boolean,
    ) {
        val byBucket = membership.table.recordsOf(buckets.toSet()).groupBy { MemberTable.bucketOf(it.nodeId) }
        val chosen = ArrayList<Int>()
        val members = ArrayList<WireMember>()
        var bytes = 0
        for (bucket in buckets) {
            val records = byBucket[bucket].orEmpty().map { it.toWire() }
            bytes += records.sumOf { it.sizeBytes }
            if (bytes > SYNC_BYTES && chosen.isNotEmpty()) break
            chosen += bucket
            members += records
        }
        syncBytes += bytes
        outbox.send(to, PeerMessage.MemberSync(chosen, members, answer))
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
        const val SYNC_BYTES = 65_536
        const val JOIN_FRAME_BYTES = 262_144
    }
}
