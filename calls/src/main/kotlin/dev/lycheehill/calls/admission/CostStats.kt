package dev.lycheehill.calls.admission

/** Durations of the calls of one route and size. Not thread-safe. */
internal class CostStats {
    /** Decaying mean in nanoseconds; 0 until the first call. */
    var meanNanos = 0.0
        private set

    var samples = 0
        private set

    var long = false

    fun add(durationNanos: Double) {
        samples = minOf(samples + 1, WINDOW)
        meanNanos += (durationNanos - meanNanos) / samples
    }

    private companion object {
        const val WINDOW = 200
    }
}
