package dev.lycheehill.node.stop

/**
 * Times of a graceful stop, in milliseconds after its begin.
 *
 * @property drainDelayMs time for which callers are still served. They learn meanwhile that the node is not ready.
 * @property timeoutMs end of the wait for the calls in flight.
 */
data class StopSchedule(
    val drainDelayMs: Long,
    val timeoutMs: Long,
) {
    companion object {
        // The platform checks once per second whether the node is ready and removes the node after two negative answers.
        private const val READINESS_DELAY_MS = 2_300L

        // The rest of the grace period is left for the last write to the store and for a late begin of the stop.
        private const val TIMEOUT_PERCENT = 90
        private const val MAX_DRAIN_PERCENT = 40

        /** Returns the schedule of a stop whose process is killed [graceMs] milliseconds after its begin. */
        fun within(graceMs: Long) =
            StopSchedule(
                drainDelayMs = minOf(READINESS_DELAY_MS, graceMs * MAX_DRAIN_PERCENT / 100),
                timeoutMs = graceMs * TIMEOUT_PERCENT / 100,
            )
    }
}
