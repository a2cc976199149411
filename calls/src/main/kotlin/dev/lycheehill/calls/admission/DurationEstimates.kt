package dev.lycheehill.calls.admission

import dev.lycheehill.core.time.NANOS_PER_MILLI

/** Smoothed durations of calls by route, and how long the longer ones take. Not thread-safe. */
internal class DurationEstimates(
    private val settings: SlotAdmissionSettings,
) {
    private val byRoute = RouteMap<Double>()
    private val longByRoute = RouteMap<Double>()

    /** Smoothed duration over all routes, in nanoseconds. */
    var meanNanos: Double = settings.initialEstimateMs * NANOS_PER_MILLI.toDouble()
        private set

    private var isEmpty = true

    /** Expected duration of a call on [route], in nanoseconds. */
    fun of(route: String): Double = byRoute[route] ?: meanNanos

    /** Duration that the share [SlotAdmissionSettings.tailQuantile] of the calls on [route] does not exceed, in nanoseconds. */
    fun longOf(route: String): Double = longByRoute[route] ?: of(route)

    /** Takes the duration of a call that ended. */
    fun add(
        route: String,
        durationNanos: Double,
    ) {
        meanNanos = if (isEmpty) durationNanos else smooth(meanNanos, durationNanos)
        isEmpty = false
        val mean = byRoute[route]?.let { smooth(it, durationNanos) } ?: durationNanos
        byRoute[route] = mean
        longByRoute[route] = followQuantile(longByRoute[route] ?: durationNanos, mean, durationNanos)
    }

    // Moves by a step that balances where the wanted share of the durations lies below.
    private fun followQuantile(
        lastNanos: Double,
        meanNanos: Double,
        durationNanos: Double,
    ): Double {
        val step = meanNanos * settings.durationSmoothing
        return if (durationNanos > lastNanos) lastNanos + step * settings.tailQuantile else lastNanos - step * (1 - settings.tailQuantile)
    }

    private fun smooth(
        lastNanos: Double,
        durationNanos: Double,
    ): Double = lastNanos + (durationNanos - lastNanos) * settings.durationSmoothing
}
