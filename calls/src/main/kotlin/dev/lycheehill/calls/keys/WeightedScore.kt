package dev.lycheehill.calls.keys

/** Score of weighted rendezvous hashing (Schindelhauer and Schomaker 2005). */
internal object WeightedScore {
    private const val UNIT = 1.0 / (1L shl 53)

    /** Returns the score of a candidate with [weight]. [bits] combine the hash of the key and the seed of the candidate. */
    fun of(
        bits: Long,
        weight: Int,
    ): Double {
        val uniform = ((mix(bits) ushr 11) + 0.5) * UNIT
        // StrictMath gives equal results on all platforms, so that all nodes choose the same home.
        return weight / -StrictMath.log(uniform)
    }

    private fun mix(value: Long): Long {
        var z = value
        z = (z xor (z ushr 30)) * -0x40a7b892e31b1a47L
        z = (z xor (z ushr 27)) * -0x6b2fb644ecceee15L
        return z xor (z ushr 31)
    }
}
