package dev.lycheehill.calls.keys

import dev.lycheehill.core.hash.Rendezvous

/**
 * An epoch of a key domain: an assignment of the keys of the domain to members, as read from the log.
 *
 * @property number 1 for the first epoch of the domain, increased by 1 with each further epoch.
 * @property members members among which the keys are distributed by weight.
 * @property previousMembers members of the previous epoch; empty for the first epoch.
 * @property reset whether an operator has stated that all members of earlier epochs have stopped.
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

    /** Number of members that form a majority. */
    val majority: Int get() = members.size / 2 + 1

    /** Number of previous members that form a majority of the previous epoch. */
    val previousMajority: Int get() = previousMembers.size / 2 + 1

    /** Returns the home of [key], or null if no member has a positive weight. */
    fun homeOf(key: KeyHash): HomeMember? = memberWithHighestScore(key, members, seeds)

    /** Returns the home of [key] in the previous epoch, or null if no previous member has a positive weight. */
    fun previousHomeOf(key: KeyHash): HomeMember? = memberWithHighestScore(key, previousMembers, previousSeeds)

    private fun memberWithHighestScore(
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
