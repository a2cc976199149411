package dev.lycheehill.fleet.membership

import dev.lycheehill.core.hash.Rendezvous

/** Members of a zone in descending order of their rendezvous score. A ranking is kept until the zone's members change. */
internal class ZoneRanking(
    private val table: MemberTable,
    private val purpose: String,
) {
    private val cached = HashMap<String, Ranked>()

    /** Ranked ids of the members of [zone]. */
    fun rank(zone: String): List<String> = ranked(zone).ids

    /** Position of [nodeId] in its zone, or -1. */
    fun positionOf(
        zone: String,
        nodeId: String,
    ): Int = ranked(zone).ids.indexOf(nodeId)

    private fun ranked(zone: String): Ranked {
        val hash = table.zoneHash(zone)
        val members = table.zoneMembers(zone)
        cached[zone]?.takeIf { it.hash == hash && it.ids.size == members.size }?.let { return it }
        return Ranked(hash, Rendezvous.rank("$purpose/$zone", members)).also { cached[zone] = it }
    }

    private class Ranked(
        val hash: Int,
        val ids: List<String>,
    )
}
