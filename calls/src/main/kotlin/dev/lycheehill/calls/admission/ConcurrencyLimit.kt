package dev.lycheehill.calls.admission

import dev.lycheehill.core.time.NANOS_PER_MILLI
import kotlin.math.sqrt

/**
 * Gradient-based limit on the concurrent calls of a backend server, adjusted by the ratio of actual to usual durations. The limit is
 * between 1 and the slots of the backend server. Not thread-safe.
 *
 * The limit falls while calls take more than [TOLERANCE] times their usual duration, and grows otherwise. The caller
 * compares a duration with the mean of the same route and size, so a changed mix of calls does not change the limit.
 */
internal class ConcurrencyLimit(
    slots: Int,
) {
    private var slots = maxOf(1, slots)
    private var limit = this.slots.toDouble()
    private var ratioSum = 0.0
    private var samples = 0
    private var maxInFlight = 0
    private var windowStartNanos = Long.MIN_VALUE

    val value: Int get() = limit.toInt().coerceIn(1, slots)

    fun setSlots(newSlots: Int) {
        val wasAtMaximum = limit >= slots
        slots = maxOf(1, newSlots)
        limit = if (wasAtMaximum) slots.toDouble() else limit.coerceIn(1.0, slots.toDouble())
    }

    /** Adds a call that took [ratio] times its usual duration and ended while [inFlight] calls ran. */
    fun add(
        ratio: Double,
        inFlight: Int,
        nowNanos: Long,
    ) {
        if (windowStartNanos == Long.MIN_VALUE) windowStartNanos = nowNanos
        ratioSum += minOf(ratio, MAX_RATIO)
        samples++
        maxInFlight = maxOf(maxInFlight, inFlight)
        if (samples >= MIN_SAMPLES && nowNanos - windowStartNanos >= WINDOW_MS * NANOS_PER_MILLI) closeWindow(nowNanos)
    }

    private fun closeWindow(nowNanos: Long) {
        val gradient = (TOLERANCE * samples / ratioSum).coerceIn(MIN_GRADIENT, 1.0)
        // If less than half of the limit was in use, the durations do not tell whether the limit is too high or too low.
        val isHalfUsed = maxInFlight * 2 >= limit
        // The square root lets the limit grow while the durations are usual, and a large limit by a smaller share.
        val newLimit = limit * gradient + sqrt(limit)
        if (isHalfUsed) limit = (limit * (1 - SMOOTHING) + newLimit * SMOOTHING).coerceIn(1.0, slots.toDouble())
        ratioSum = 0.0
        samples = 0
        maxInFlight = 0
        windowStartNanos = nowNanos
    }

    private companion object {
        const val TOLERANCE = 2.0
        const val MIN_GRADIENT = 0.5
        const val MAX_RATIO = 20.0
        const val SMOOTHING = 0.2
        const val MIN_SAMPLES = 10
        const val WINDOW_MS = 100
    }
}
