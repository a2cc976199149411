package dev.lycheehill.core.hash

/**
 * Rendezvous (highest random weight) hashing, after Thaler and Ravishankar 1998.
 *
 * All nodes compute equal scores for equal input, independent of the platform and of the order of the candidates.
 */
object Rendezvous {
    private const val FNV_OFFSET = -0x340d631b7bdddcdbL
    private const val FNV_PRIME = 0x100000001b3L

    /** Returns the score of [candidate] for [key], compared as an unsigned number. */
    fun score(
        key: String,
        candidate: String,
    ): Long = mix(fnv(candidate, fnv(key, FNV_OFFSET) * FNV_PRIME))

    /** Returns [candidates] in descending order of their score for [key]; equal scores are ordered by name. */
    fun rank(
        key: String,
        candidates: Collection<String>,
    ): List<String> =
        candidates
            .map { it to score(key, it) }
            .sortedWith(compareByDescending<Pair<String, Long>> { it.second.toULong() }.thenBy { it.first })
            .map { it.first }

    private fun fnv(
        text: String,
        seed: Long,
    ): Long = text.fold(seed) { hash, char -> (hash xor char.code.toLong()) * FNV_PRIME }

    // The finalizer of SplitMix64 spreads the weak low bits of FNV-1a.
    private fun mix(value: Long): Long {
        var z = value
        z = (z xor (z ushr 30)) * -0x40a7b892e31b1a47L
        z = (z xor (z ushr 27)) * -0x6b2fb644ecceee15L
        return z xor (z ushr 31)
    }
}
