package dev.lycheehill.cli.demo

import java.util.Random
import java.util.UUID

/** Generates UUIDs of version 7 (RFC 9562), which contain their time of creation. Thread-safe. */
class UuidV7(
    private val random: Random,
) {
    /** Returns a new UUID with the time of creation [wallMillis], in milliseconds since the Unix epoch. */
    fun next(wallMillis: Long): UUID {
        val high = (wallMillis shl TIME_SHIFT) or VERSION_7 or (random.nextLong() and RANDOM_A_MASK)
        val low = VARIANT or (random.nextLong() and RANDOM_B_MASK)
        return UUID(high, low)
    }

    private companion object {
        const val TIME_SHIFT = 16
        const val VERSION_7 = 0x7000L
        const val RANDOM_A_MASK = 0x0fffL
        const val VARIANT = Long.MIN_VALUE
        const val RANDOM_B_MASK = 0x3fffffffffffffffL
    }
}
