package dev.lycheehill.calls.admission

/** Duration statistics and cost class of the calls of one route and size class. Not thread-safe. */
internal class CostStats {
    /**
     * Mean of the durations in nanoseconds, weighted exponentially after [MAX_SAMPLES] calls; 0 until the first call has ended.
     */
    var meanNanos = 0.0
        private set

    /** Number of calls in the mean, at most [MAX_SAMPLES]. */
    var samples = 0
        private set

    /** Whether the calls are classified as long. Set by [CostClassifier]. */
    var isLong = false

    fun add(durationNanos: Double) {
        samples = minOf(samples + 1, MAX_SAMPLES)
        meanNanos += (durationNanos - meanNanos) / samples
    }

    private companion object {
        const val MAX_SAMPLES = 200
    }
}
