package dev.lycheehill.fleet.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.random.Random

/**
 * Member records merged so that the order of arrival does not matter.
 *
 * The record with the higher incarnation wins; for equal incarnations, the later state wins. [MemberState.GONE] records
 * are kept apart for [goneRetentionMs], so that a late record of the same incarnation cannot bring the member back.
 * One thread writes; [live] may be read by any thread.
 */
class MemberTable(
    private val goneRetentionMs: Long = 600_000,
    private val lostZoneRetentionMs: Long = 86_400_000,
) {
    /** All members but those that are gone, by node id. */
    @Volatile
    var live: PersistentMap<String, MemberRecord> = persistentMapOf()
        private set

    /** Raised by each change of [live]. */
    var changes: Long = 0
        private set

    private val gone = LinkedHashMap<String, GoneMember>()
    private val zones = sortedMapOf<String, ZoneMembers>()
    private val lostZones = HashMap<String, Long>()
    private val buckets = IntArray(BUCKETS)
    private val interned = HashMap<String, String>()

    /** Merges [record] and returns whether the table changed. */
    fun merge(
        record: MemberRecord,
        nowMs: Long,
    ): Boolean {
        val buried = gone[record.nodeId]
        if (buried != null && !supersedes(record, buried.record)) return false
        val held = live[record.nodeId]
        if (held != null && !supersedes(record, held)) return false
        held?.let(::remove)
        gone.remove(record.nodeId)
        if (record.state == MemberState.GONE) bury(record, held, nowMs) else insert(record)
        changes++
        return true
    }

    /** Drops records of gone members whose retention has passed. */
    fun expire(nowMs: Long) {
        val iterator = gone.values.iterator()
        while (iterator.hasNext() && nowMs - iterator.next().sinceMs >= goneRetentionMs) iterator.remove()
        lostZones.values.removeIf { nowMs - it >= lostZoneRetentionMs }
    }

    /** The record of a gone member that is still retained, or null. */
    fun goneRecord(nodeId: String): MemberRecord? = gone[nodeId]?.record

    /** A random retained record of a gone member, or null. */
    fun randomGone(random: Random): MemberRecord? = if (gone.isEmpty()) null else gone.values.elementAt(random.nextInt(gone.size)).record

    /** Ids of the members of [zone] that are not gone. */
    fun zoneMembers(zone: String): List<String> = zones[zone]?.ids?.values.orEmpty()

    /** Hash over the ids of [zoneMembers]; equal sets have equal hashes. */
    fun zoneHash(zone: String): Int = zones[zone]?.hash ?: 0

    /** Zones with at least one member that is not gone. */
    fun liveZones(): Set<String> = zones.keys

    /** Zones that had members, the last of which was declared gone without having left. */
    fun lostZones(): Set<String> = lostZones.keys

    /** A random member of [zone]. */
    fun randomIn(
        zone: String,
        random: Random,
    ): MemberRecord? = zones[zone]?.ids?.random(random)?.let(live::get)

    /** A random member of a random zone other than [zone]. */
    fun randomOutside(
        zone: String,
        random: Random,
    ): MemberRecord? {
        val others = zones.keys.filter { it != zone }
        return if (others.isEmpty()) null else randomIn(others[random.nextInt(others.size)], random)
    }

    /** Hash over all records of [live]. */
    fun hash(): Int = buckets.fold(1) { hash, bucket -> hash * 31 + bucket }

    /** Hash of each bucket. */
    fun bucketHashes(): IntArray = buckets.copyOf()

    /** Records of [live] in [bucketIndexes]. */
    fun liveIn(bucketIndexes: Set<Int>): List<MemberRecord> = live.values.filter { bucketOf(idHash(it.nodeId)) in bucketIndexes }

    /** Retained records of gone members in [bucketIndexes]. */
    fun goneIn(bucketIndexes: Set<Int>): List<MemberRecord> =
        gone.values.map { it.record }.filter { bucketOf(idHash(it.nodeId)) in bucketIndexes }

    private fun insert(record: MemberRecord) {
        val shared =
            record.copy(
                zone = intern(record.zone),
                region = intern(record.region),
                service = intern(record.service),
            )
        live = live.put(shared.nodeId, shared)
        zones.getOrPut(shared.zone, ::ZoneMembers).add(shared.nodeId)
        lostZones.remove(shared.zone)
        toggleHash(shared)
    }

    private fun remove(record: MemberRecord) {
        live = live.remove(record.nodeId)
        val zone = zones.getValue(record.zone)
        zone.remove(record.nodeId)
        if (zone.ids.size == 0) zones.remove(record.zone)
        toggleHash(record)
    }

    // A member that leaves raises its incarnation, so a gone record of the held incarnation is another node's verdict.
    private fun bury(
        record: MemberRecord,
        held: MemberRecord?,
        nowMs: Long,
    ) {
        gone[record.nodeId] = GoneMember(record, nowMs)
        val failed = held != null && held.incarnation == record.incarnation
        if (failed && record.zone !in zones && lostZones.size < MAX_LOST_ZONES) lostZones[record.zone] = nowMs
    }

    private fun toggleHash(record: MemberRecord) {
        val bucket = bucketOf(idHash(record.nodeId))
        buckets[bucket] = buckets[bucket] xor recordHash(record)
    }

    private fun intern(text: String): String {
        if (interned.size > MAX_INTERNED) interned.clear()
        return interned.getOrPut(text) { text }
    }

    private class GoneMember(
        val record: MemberRecord,
        val sinceMs: Long,
    )

    private class ZoneMembers {
        val ids = IndexedSet()
        var hash = 0
            private set

        fun add(id: String) {
            ids.add(id)
            hash = hash xor idHash(id)
        }

        fun remove(id: String) {
            ids.remove(id)
            hash = hash xor idHash(id)
        }
    }

    companion object {
        /** Number of buckets that anti-entropy compares. */
        const val BUCKETS = 64

        private const val MAX_LOST_ZONES = 64
        private const val MAX_INTERNED = 20_000

        /** Tells whether [record] replaces [held]. */
        fun supersedes(
            record: MemberRecord,
            held: MemberRecord,
        ): Boolean = record.incarnation > held.incarnation || (record.incarnation == held.incarnation && record.state > held.state)

        /** Hash of a node id. Its lowest bits are the bucket. */
        fun idHash(nodeId: String): Int = mix(nodeId.hashCode())

        /** Bucket of the node id with [idHash]. */
        fun bucketOf(idHash: Int): Int = idHash and (BUCKETS - 1)

        /** Hash over what the merge rule compares. */
        fun recordHash(record: MemberRecord): Int = mix(idHash(record.nodeId) + record.incarnation.hashCode() * 31 + record.state.ordinal)

        // Finalizer of MurmurHash3: spreads String.hashCode, which differs little between similar ids.
        private fun mix(value: Int): Int {
            var z = value
            z = (z xor (z ushr 16)) * -0x7a143595
            z = (z xor (z ushr 13)) * -0x3d4d51cb
            return z xor (z ushr 16)
        }
    }
}
