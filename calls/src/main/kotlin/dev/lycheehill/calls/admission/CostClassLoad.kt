package dev.lycheehill.calls.admission

import dev.lycheehill.core.time.NANOS_PER_MILLI

/** Arrivals, durations and queue state of the calls of one cost class at a target. Not thread-safe. */
internal class CostClassLoad {
    /**
     * Time in nanoseconds at which the queue of the class was last empty, set by the owner of this object; [Long.MIN_VALUE] before the
     * first observation.
     */
    var lastEmptyNanos = Long.MIN_VALUE

    private var lastArrivalNanos = Long.MIN_VALUE

    /** Exponentially weighted moving average of the durations in nanoseconds; 0 until the first call has ended. */
    var meanNanos = 0.0
        private set

    fun add(durationNanos: Double) {
        meanNanos = if (meanNanos == 0.0) durationNanos else meanNanos + (durationNanos - meanNanos) * SAMPLE_WEIGHT
    }

    fun onArrival(nowNanos: Long) {
        lastArrivalNanos = nowNanos
    }

    /** Returns whether a call of the class arrived within the last [withinMs] milliseconds. */
    fun hasRecentArrivals(
        nowNanos: Long,
        withinMs: Long,
    ): Boolean = lastArrivalNanos != Long.MIN_VALUE && nowNanos - lastArrivalNanos <= withinMs * NANOS_PER_MILLI

    private companion object {
        const val SAMPLE_WEIGHT = 1.0 / 64
    }
}
