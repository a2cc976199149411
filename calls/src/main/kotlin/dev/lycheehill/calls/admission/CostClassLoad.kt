package dev.lycheehill.calls.admission

import dev.lycheehill.core.time.NANOS_PER_MILLI

/** Load of one cost class at a target. Not thread-safe. */
internal class CostClassLoad {
    /** When no call of the class was last seen waiting. */
    var lastEmptyNanos = Long.MIN_VALUE

    private var lastArrivalNanos = Long.MIN_VALUE

    /** Decaying mean duration; 0 until the first call. */
    var meanNanos = 0.0
        private set

    fun add(durationNanos: Double) {
        meanNanos = if (meanNanos == 0.0) durationNanos else meanNanos + (durationNanos - meanNanos) * SAMPLE_SHARE
    }

    fun onArrival(nowNanos: Long) {
        lastArrivalNanos = nowNanos
    }

    /** Whether a call of the class arrived within the last [withinMs]. */
    fun isPresent(
        nowNanos: Long,
        withinMs: Long,
    ): Boolean = lastArrivalNanos != Long.MIN_VALUE && nowNanos - lastArrivalNanos <= withinMs * NANOS_PER_MILLI

    private companion object {
        const val SAMPLE_SHARE = 1.0 / 64
    }
}
