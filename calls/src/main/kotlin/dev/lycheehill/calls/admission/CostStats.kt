package dev.lycheehill.calls.admission

/** Duration statistics and cost class of the calls of one route and size class. Not thread-safe. */
internal class CostStats {
    /** Moving average of the durations in nanoseconds; 0 until the first call has ended. */
    var meanNanos = 0.0
        private set

    var samples = 0
        private set

    var isLong = false

    fun add(durationNanos: Double) {
        samples = minOf(samples + 1, MAX_SAMPLES)
        meanNanos += (durationNanos - meanNanos) / samples
    }

    private companion object {
        const val MAX_SAMPLES = 200
    }
}
