package dev.lycheehill.standins.backend

import java.util.Random
import kotlin.math.exp
import kotlin.math.ln

/**
 * Log-normal distribution of service times.
 *
 * @property medianMs median in milliseconds; 0 makes all service times 0.
 * @property p99Ms 99th percentile in milliseconds.
 */
data class ServiceTimeDistribution(
    val medianMs: Double,
    val p99Ms: Double,
) {
    private val sigma = if (medianMs > 0) ln(p99Ms / medianMs) / Z_P99 else 0.0

    /** Draws a service time in nanoseconds. */
    fun sampleNanos(random: Random): Long =
        if (medianMs <= 0) 0 else (medianMs * exp(sigma * random.nextGaussian()) * NANOS_PER_MILLI).toLong()

    private companion object {
        // The 99th percentile of the standard normal distribution.
        const val Z_P99 = 2.3263
        const val NANOS_PER_MILLI = 1_000_000
    }
}
