package dev.lycheehill.fleet.membership

import dev.lycheehill.core.hash.Rendezvous

/**
 * Ranking of the members of a zone by their rendezvous score, in descending order. A ranking is cached until the members change.
 *
 * @param purpose part of the hash key; different purposes lead to independent rankings.
 */
internal class ZoneRanking(
    private val table: MemberTable,
    private val purpose: String,
) {
    private val cached = HashMap<String, Ranked>()

    /** Returns the ids of the members of [zone], highest score first. */
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
