package dev.lycheehill.calls.balancing

import java.util.concurrent.atomic.AtomicLong

/** SplitMix64 pseudo-random generator (Steele et al. 2014). Equal seeds give equal sequences. Thread-safe. */
internal class SeededRandom(
    seed: Long,
) {
    private val state = AtomicLong(seed)

    /** Returns a uniformly distributed number from 0 until [bound]. */
    fun nextInt(bound: Int): Int = ((next() ushr 33) * bound ushr 31).toInt()

    /** Returns a uniformly distributed number from 0 until 1. */
    fun nextDouble(): Double = (next() ushr 11) * DOUBLE_UNIT

    private fun next(): Long {
        var z = state.addAndGet(GAMMA)
        z = (z xor (z ushr 30)) * -0x40a7b892e31b1a47L
        z = (z xor (z ushr 27)) * -0x6b2fb644ecceee15L
        return z xor (z ushr 31)
    }

    private companion object {
        const val GAMMA = -0x61c8864680b583ebL
        const val DOUBLE_UNIT = 1.0 / (1L shl 53)
    }
}
