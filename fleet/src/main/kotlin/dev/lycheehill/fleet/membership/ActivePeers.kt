package dev.lycheehill.fleet.membership

import kotlin.random.Random

/**
 * Small random sample of the members, to which announcements and gossip go.
 *
 * Each node keeps its sample and replaces one peer at a time, so that connections are reused. With [OWN_ZONE] peers
 * drawn at random by every node, the chance that no node has drawn a given member is about e^-9.
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

    /** Replaces the oldest peers when it is time, and fills up the sample. */
    fun onTick(nowMs: Long) {
        if (nowMs >= nextRotationMs) {
            nextRotationMs = nowMs + ROTATION_MS
            own.removeFirstOrNull()
            outside.removeFirstOrNull()
        }
        fill()
    }

    /** Up to [count] different peers, the first of them from another zone where there is one. */
    fun sample(count: Int): Set<MemberRecord> {
        fill()
        val ids = outside.shuffled(random).take(1) + own.shuffled(random) + outside.shuffled(random)
        return ids
            .distinct()
            .take(count)
            .mapNotNull(table.live::get)
            .toSet()
    }

    /** One peer of the own zone, or of another zone if [fromOutside] is set; of any zone where there is no such peer. */
    fun one(fromOutside: Boolean): MemberRecord? {
        fill()
        val preferred = if (fromOutside) outside else own
        val id = preferred.randomOrNull(random) ?: (own + outside).randomOrNull(random)
        return id?.let(table.live::get)
    }

    private fun fill() {
        own.removeAll { it !in table.live }
        outside.removeAll { it !in table.live }
        repeat(OWN_ZONE) { if (own.size < OWN_ZONE) table.randomIn(zone, random)?.let { add(own, it.nodeId) } }
        repeat(OUTSIDE) { if (outside.size < OUTSIDE) table.randomOutside(zone, random)?.let { add(outside, it.nodeId) } }
    }

    private fun add(
        peers: ArrayDeque<String>,
        nodeId: String,
    ) {
        if (nodeId != selfId && nodeId !in peers) peers.addLast(nodeId)
    }

    private companion object {
        const val OWN_ZONE = 9
        const val OUTSIDE = 3
        const val ROTATION_MS = 5_000L
    }
}
