package dev.lycheehill.calls.admission

import dev.lycheehill.core.time.NANOS_PER_MILLI

/** Smoothed durations of calls by route. Not thread-safe. */
internal class DurationEstimates(
    private val settings: SlotAdmissionSettings,
) {
    private val byRoute = RouteMap<Double>()

    /** Smoothed duration over all routes, in nanoseconds. */
    var meanNanos: Double = settings.firstEstimateMs * NANOS_PER_MILLI.toDouble()
        private set

    private var isEmpty = true

    /** Expected duration of a call on [route], in nanoseconds. */
    fun of(route: String): Double = byRoute[route] ?: meanNanos

    /** Takes the duration of a call that ended. */
    fun add(
        route: String,
        durationNanos: Double,
    ) {
        meanNanos = if (isEmpty) durationNanos else smooth(meanNanos, durationNanos)
        isEmpty = false
        byRoute[route] = byRoute[route]?.let { smooth(it, durationNanos) } ?: durationNanos
    }

    private fun smooth(
        lastNanos: Double,
        durationNanos: Double,
    ): Double = lastNanos + (durationNanos - lastNanos) * settings.smoothing
}
