package dev.lycheehill.calls.admission

import kotlin.math.exp
import kotlin.math.ln

/**
 * Classifies calls as short or long by their measured durations, per route and size of the request. Not thread-safe.
 *
 * Durations are compared with a reference, the geometric mean of the durations of short calls. A few long calls that are not yet
 * classified as long change the reference little; calls that are classified as long do not change the reference.
 */
internal class CostClassifier(
    private val maxRoutes: Int = 4_096,
) {
    private val byRoute = HashMap<String, Array<CostStats?>>()
    private val overflow = CostStats()
    private var logReference = 0.0
    private var referenceSamples = 0

    /** Returns the statistics of calls with the route and size class of [call]. Routes beyond the limit of routes share one entry. */
    fun statsOf(call: AdmissionCall): CostStats {
        val bySizeClass =
            byRoute[call.route]
                ?: if (byRoute.size < maxRoutes) arrayOfNulls<CostStats>(CLASSES).also { byRoute[call.route] = it } else return overflow
        val size = sizeClass(call.sizeBytes)
        return bySizeClass[size] ?: CostStats().also { bySizeClass[size] = it }
    }

    fun isLong(call: AdmissionCall): Boolean =
        when (call.cost) {
            CallCost.SHORT -> false
            CallCost.LONG -> true
            CallCost.LEARNED -> statsOf(call).isLong
        }

    /** Adds the duration of a call that succeeded. */
    fun add(
        call: AdmissionCall,
        durationNanos: Double,
    ) {
        val stats = statsOf(call)
        stats.add(durationNanos)
        val isLongCall = if (call.cost == CallCost.LEARNED) stats.isLong else call.cost == CallCost.LONG
        if (!isLongCall) addReference(durationNanos)
        if (stats.samples >= MIN_SAMPLES) classify(stats)
    }

    // Hysteresis: with a single threshold, statistics near the threshold would change their class with each call.
    private fun classify(stats: CostStats) {
        val ratio = stats.meanNanos / exp(logReference)
        if (ratio > MIN_LONG_RATIO) stats.isLong = true
        if (ratio < MAX_SHORT_RATIO) stats.isLong = false
    }

    private fun addReference(durationNanos: Double) {
        referenceSamples = minOf(referenceSamples + 1, REFERENCE_WINDOW)
        logReference += (ln(maxOf(durationNanos, 1.0)) - logReference) / referenceSamples
    }

    private companion object {
        const val CLASSES = 12
        const val MIN_SAMPLES = 5
        const val MIN_LONG_RATIO = 5.0
        const val MAX_SHORT_RATIO = 3.0
        const val REFERENCE_WINDOW = 256

        // Class 0 is an empty body, class 1 is below 512 B, class 2 is below 2 KiB. Each further class has a four times higher bound.
        fun sizeClass(bytes: Int): Int =
            if (bytes <=
                0
            ) {
                0
            } else {
                ((Integer.SIZE - bytes.countLeadingZeroBits()) / 2 - 3).coerceIn(1, CLASSES - 1)
            }
    }
}
