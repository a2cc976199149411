package dev.lycheehill.fleet.membership

import dev.lycheehill.core.hash.Rendezvous

/** Members of a zone in descending order of their rendezvous score. A ranking is kept until the zone's members change. */
internal class ZoneRanking(
    private val table: MemberTable,
    private val purpose: String,
) {
    private val cached = HashMap<String, Ranked>()

    /** Ranked ids of the members of [zone]. */
    fun rank(zone: String): List<String> {
        val hash = table.zoneHash(zone)
        val members = table.zoneMembers(zone)
        cached[zone]?.takeIf { it.hash == hash && it.ids.size == members.size }?.let { return it.ids }
        return Rendezvous.rank("$purpose/$zone", members).also { cached[zone] = Ranked(hash, it) }
    }

    private class Ranked(
        val hash: Int,
        val ids: List<String>,
    )
}
