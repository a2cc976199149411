package dev.lycheehill.fleet.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.random.Random

/**
 * Table of member records whose content does not depend on the order in which records arrive.
 *
 * The record with the higher incarnation wins; for equal incarnations, the later state wins. [MemberState.GONE] records are kept
 * as tombstones for [goneRetentionMs], so that a late record of the same incarnation cannot bring the member back.
 *
 * Confined to one thread, except that [live] may be read by any thread.
 */
class MemberTable(
    private val goneRetentionMs: Long = 600_000,
    private val lostZoneRetentionMs: Long = 86_400_000,
) {
    /** Records of all members that are not gone, by node id. */
    @Volatile
    var live: PersistentMap<String, MemberRecord> = persistentMapOf()
        private set

    /** Number of changes of the table so far. */
    var changes: Long = 0
        private set

    private val tombstones = LinkedHashMap<String, Tombstone>()
    private val zones = sortedMapOf<String, ZoneMembers>()
    private val lostZones = HashMap<String, Long>()
    private val buckets = IntArray(BUCKETS)
    private val interned = HashMap<String, String>()

    /** Merges [record] and returns whether the table changed. */
    fun merge(
        record: MemberRecord,
        nowMs: Long,
    ): Boolean {
        val tombstone = tombstones[record.nodeId]
        if (tombstone != null && !supersedes(record, tombstone.record)) return false
        val known = live[record.nodeId]
        if (known != null && !supersedes(record, known)) return false
        known?.let(::remove)
        tombstones.remove(record.nodeId)
        if (record.state == MemberState.GONE) addTombstone(record, known, nowMs) else insert(record)
        changes++
        return true
    }

    /** Removes tombstones and lost zones whose retention has passed. */
    fun expire(nowMs: Long) {
        val iterator = tombstones.values.iterator()
        while (iterator.hasNext() && nowMs - iterator.next().sinceMs >= goneRetentionMs) iterator.remove()
        lostZones.values.removeIf { nowMs - it >= lostZoneRetentionMs }
    }

    /** Returns the tombstone of [nodeId], or null when none is retained. */
    fun goneRecord(nodeId: String): MemberRecord? = tombstones[nodeId]?.record

    /** Returns a random tombstone, or null when none is retained. */
    fun randomGone(random: Random): MemberRecord? =
        if (tombstones.isEmpty()) null else tombstones.values.elementAt(random.nextInt(tombstones.size)).record

    /** Returns the ids of the members of [zone] that are not gone. */
    fun zoneMembers(zone: String): List<String> = zones[zone]?.ids?.values.orEmpty()

    /** Returns a hash over the ids of [zoneMembers]. Equal sets have equal hashes. */
    fun zoneHash(zone: String): Int = zones[zone]?.hash ?: 0

    /** Returns the zones with at least one member that is not gone. */
    fun liveZones(): Set<String> = zones.keys

    /** Returns the zones without members whose last member was declared gone by another node instead of leaving. */
    fun lostZones(): Set<String> = lostZones.keys

    /** Returns a random member of [zone], or null when there is none. */
    fun randomIn(
        zone: String,
        random: Random,
    ): MemberRecord? = zones[zone]?.ids?.random(random)?.let(live::get)

    /** Returns a random member of a random zone other than [zone], or null when there is none. */
    fun randomOutside(
        zone: String,
        random: Random,
    ): MemberRecord? {
        val others = zones.keys.filter { it != zone }
        return if (others.isEmpty()) null else randomIn(others[random.nextInt(others.size)], random)
    }

    /** Returns a hash over all records of [live]. */
    fun hash(): Int = buckets.fold(1) { hash, bucket -> hash * 31 + bucket }

    /** Returns the hash of each bucket. */
    fun bucketHashes(): IntArray = buckets.copyOf()

    /** Returns the records of [live] in the buckets [bucketIndexes]. */
    fun liveIn(bucketIndexes: Set<Int>): List<MemberRecord> = live.values.filter { bucketOf(idHash(it.nodeId)) in bucketIndexes }

    /** Returns the tombstones in the buckets [bucketIndexes]. */
    fun goneIn(bucketIndexes: Set<Int>): List<MemberRecord> =
        tombstones.values.map { it.record }.filter { bucketOf(idHash(it.nodeId)) in bucketIndexes }

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

    // A member that leaves raises its incarnation. A GONE record with an unchanged incarnation therefore comes from another node's
    // failure detector.
    private fun addTombstone(
        record: MemberRecord,
        known: MemberRecord?,
        nowMs: Long,
    ) {
        tombstones[record.nodeId] = Tombstone(record, nowMs)
        val failed = known != null && known.incarnation == record.incarnation
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

    private class Tombstone(
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
        /** Number of hash buckets that anti-entropy compares. */
        const val BUCKETS = 64

        private const val MAX_LOST_ZONES = 64
        private const val MAX_INTERNED = 20_000

        /** Returns whether [record] replaces [known]. */
        fun supersedes(
            record: MemberRecord,
            known: MemberRecord,
        ): Boolean = record.incarnation > known.incarnation || (record.incarnation == known.incarnation && record.state > known.state)

        /** Returns the hash of a node id. Its lowest bits are the bucket. */
        fun idHash(nodeId: String): Int = mix(nodeId.hashCode())

        /** Returns the bucket of the node id with the hash [idHash]. */
        fun bucketOf(idHash: Int): Int = idHash and (BUCKETS - 1)

        /** Returns a hash over the fields that [supersedes] compares, and the node id. */
        fun recordHash(record: MemberRecord): Int = mix(idHash(record.nodeId) + record.incarnation.hashCode() * 31 + record.state.ordinal)

        // Finalizer of MurmurHash3. String.hashCode differs little between similar ids, so its bits are mixed.
        private fun mix(value: Int): Int {
            var z = value
            z = (z xor (z ushr 16)) * -0x7a143595
            z = (z xor (z ushr 13)) * -0x3d4d51cb
            return z xor (z ushr 16)
        }
    }
}
