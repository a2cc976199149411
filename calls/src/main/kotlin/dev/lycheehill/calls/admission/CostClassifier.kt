package dev.lycheehill.calls.admission

import kotlin.math.exp
import kotlin.math.ln

/**
 * Learns which calls are long, by route and size of the request. Not thread-safe.
 *
 * The reference is the geometric mean of the short calls: a few long calls hardly move it, and a flood of calls that are
 * already known as long does not move it at all.
 */
internal class CostClassifier(
    private val maxRoutes: Int = 4_096,
) {
    private val byRoute = HashMap<String, Array<CostStats?>>()
    private val overflow = CostStats()
    private var logReference = 0.0
    private var references = 0

    /** Durations of the calls like [call]. Routes beyond the limit share one entry. */
    fun statsOf(call: AdmissionCall): CostStats {
        val sizes =
            byRoute[call.route]
                ?: if (byRoute.size < maxRoutes) arrayOfNulls<CostStats>(SIZES).also { byRoute[call.route] = it } else return overflow
        val size = sizeClass(call.sizeBytes)
        return sizes[size] ?: CostStats().also { sizes[size] = it }
    }

    fun isLong(call: AdmissionCall): Boolean =
        when (call.cost) {
            CallCost.SHORT -> false
            CallCost.LONG -> true
            CallCost.LEARNED -> statsOf(call).long
        }

    /** Adds the duration of a call that ended well. */
    fun add(
        call: AdmissionCall,
        durationNanos: Double,
    ) {
        val stats = statsOf(call)
        stats.add(durationNanos)
        val long = if (call.cost == CallCost.LEARNED) stats.long else call.cost == CallCost.LONG
        if (!long) addReference(durationNanos)
        if (stats.samples >= MIN_SAMPLES) classify(stats)
    }

    // Two bounds, so that a route near the ratio does not change its class with each call.
    private fun classify(stats: CostStats) {
        val ratio = stats.meanNanos / exp(logReference)
        if (ratio > LONG_RATIO) stats.long = true
        if (ratio < SHORT_RATIO) stats.long = false
    }

    private fun addReference(durationNanos: Double) {
        references = minOf(references + 1, REFERENCE_WINDOW)
        logReference += (ln(maxOf(durationNanos, 1.0)) - logReference) / references
    }

    private companion object {
        const val SIZES = 12
        const val MIN_SAMPLES = 5
        const val LONG_RATIO = 5.0
        const val SHORT_RATIO = 3.0
        const val REFERENCE_WINDOW = 256

        // Classes of size grow by a factor of four: 0, up to 255 B, up to 1 KiB, and so on.
        fun sizeClass(bytes: Int): Int =
            if (bytes <=
                0
            ) {
                0
            } else {
                ((Integer.SIZE - bytes.countLeadingZeroBits()) / 2 - 3).coerceIn(1, SIZES - 1)
            }
    }
}
