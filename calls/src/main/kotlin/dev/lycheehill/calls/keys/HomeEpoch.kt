package dev.lycheehill.calls.keys

import dev.lycheehill.core.hash.Rendezvous

/**
 * Assignment of the keys of one domain to members, as folded from the log.
 *
 * @property number 1 for the first epoch of the domain, then increasing by 1.
 * @property previousMembers members of the epoch before; empty for the first one.
 * @property reset set by an operator who states that all members of earlier epochs have stopped.
 */
data class HomeEpoch(
    val domain: String,
    val number: Long,
    val members: List<HomeMember>,
    val previousMembers: List<HomeMember> = emptyList(),
    val reset: Boolean = false,
) {
    private val seeds = seedsOf(members)
    private val previousSeeds = seedsOf(previousMembers)

    /** Number of members that is a majority. */
    val majority: Int get() = members.size / 2 + 1

    /** Number of members of the epoch before that is a majority of it. */
    val previousMajority: Int get() = previousMembers.size / 2 + 1

    /** Home of [key]; null when no member has a weight. */
    fun homeOf(key: KeyHash): HomeMember? = highest(key, members, seeds)

    /** Home of [key] in the epoch before. */
    fun previousHomeOf(key: KeyHash): HomeMember? = highest(key, previousMembers, previousSeeds)

    private fun highest(
        key: KeyHash,
        members: List<HomeMember>,
        seeds: LongArray,
    ): HomeMember? {
        var best: HomeMember? = null
        var bestScore = 0.0
        for (index in members.indices) {
            val member = members[index]
            if (member.weight <= 0) continue
            val score = WeightedScore.of(key.low xor seeds[index], member.weight)
            val wins = best == null || score > bestScore || score == bestScore && member.id < best.id
            if (wins) best = member
            if (wins) bestScore = score
        }
        return best
    }

    private companion object {
        fun seedsOf(members: List<HomeMember>) = LongArray(members.size) { Rendezvous.score("", members[it].id) }
    }
}
