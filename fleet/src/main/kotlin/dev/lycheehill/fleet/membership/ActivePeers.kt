package dev.lycheehill.fleet.membership

import kotlin.random.Random

/**
 * Small random sample of the members that receive announcements and gossip.
 *
 * Each node keeps its sample and replaces peers one at a time, so that connections are reused. When every node draws
 * [OWN_ZONE_COUNT] peers of its zone at random, the probability that a given member is in no sample is about e^-9.
 */
internal class ActivePeers(
    private val table: MemberTable,
    private val selfId: String,
    private val zone: String,
    private val random: Random,
) {
    private val own = ArrayDeque<String>()
    private val outside = ArrayDeque<String>()
    private var nextRotationMs = 0L

    /** Replaces the oldest peer of the own zone and of the other zones in each rotation period, and refills the sample. */
    fun onTick(nowMs: Long) {
        if (nowMs >= nextRotationMs) {
            nextRotationMs = nowMs + ROTATION_PERIOD_MS
            own.removeFirstOrNull()
            outside.removeFirstOrNull()
        }
        refill()
    }

    /** Returns up to [count] distinct peers, the first of them from another zone if the sample has one. */
    fun sample(count: Int): Set<MemberRecord> {
        refill()
        val ids = outside.shuffled(random).take(1) + own.shuffled(random) + outside.shuffled(random)
        return ids
            .distinct()
            .take(count)
            .mapNotNull(table.live::get)
            .toSet()
    }

    /** Returns a peer of another zone if [fromOutside] is set, otherwise of the own zone; a peer of any zone if there is no such peer. */
    fun pick(fromOutside: Boolean): MemberRecord? {
        refill()
        val preferred = if (fromOutside) outside else own
        val id = preferred.randomOrNull(random) ?: (own + outside).randomOrNull(random)
        return id?.let(table.live::get)
    }

    private fun refill() {
        own.removeAll { it !in table.live }
        outside.removeAll { it !in table.live }
        repeat(OWN_ZONE_COUNT) { if (own.size < OWN_ZONE_COUNT) table.randomIn(zone, random)?.let { add(own, it.nodeId) } }
        repeat(OUTSIDE_COUNT) { if (outside.size < OUTSIDE_COUNT) table.randomOutside(zone, random)?.let { add(outside, it.nodeId) } }
    }

    private fun add(
        peers: ArrayDeque<String>,
        nodeId: String,
    ) {
        if (nodeId != selfId && nodeId !in peers) peers.addLast(nodeId)
    }

    private companion object {
        const val OWN_ZONE_COUNT = 9
        const val OUTSIDE_COUNT = 3
        const val ROTATION_PERIOD_MS = 5_000L
    }
}
