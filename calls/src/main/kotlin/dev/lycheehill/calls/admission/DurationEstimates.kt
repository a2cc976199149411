package dev.lycheehill.calls.admission

import dev.lycheehill.core.time.NANOS_PER_MILLI

/** Estimates the mean and a high quantile of the durations of calls, by route. Not thread-safe. */
internal class DurationEstimates(
    private val settings: SlotAdmissionSettings,
) {
    private val byRoute = RouteMap<Double>()
    private val tailByRoute = RouteMap<Double>()

    /** Exponentially weighted moving average of the durations over all routes, in nanoseconds. */
    var meanNanos: Double = settings.initialEstimateMs * NANOS_PER_MILLI.toDouble()
        private set

    private var isEmpty = true

    /** Returns the expected duration of a call on [route], in nanoseconds. */
    fun meanOf(route: String): Double = byRoute[route] ?: meanNanos

    /** Returns the quantile [SlotAdmissionSettings.tailQuantile] of the durations of calls on [route], in nanoseconds. */
    fun tailOf(route: String): Double = tailByRoute[route] ?: meanOf(route)

    /** Adds the duration of a call that succeeded. */
    fun add(
        route: String,
        durationNanos: Double,
    ) {
        meanNanos = if (isEmpty) durationNanos else smooth(meanNanos, durationNanos)
        isEmpty = false
        val mean = byRoute[route]?.let { smooth(it, durationNanos) } ?: durationNanos
        byRoute[route] = mean
        tailByRoute[route] = updateQuantile(tailByRoute[route] ?: durationNanos, mean, durationNanos)
    }

    // Stochastic quantile estimation: the steps up and down cancel out at the value below which the wanted share of durations lies.
    private fun updateQuantile(
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
