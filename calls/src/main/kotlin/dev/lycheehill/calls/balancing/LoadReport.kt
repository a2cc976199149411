package dev.lycheehill.calls.balancing

/**
 * Load of a target, as the node of the target reports it with a response.
 *
 * @property inFlight number of calls that the target runs, for all callers together.
 * @property latencyNanos mean duration of recent calls of the target in nanoseconds; 0 if unknown.
 * @property queued number of calls that are queued at the node of the target.
 * @property slots number of calls that the target can run concurrently; 0 if unknown.
 */
data class LoadReport(
    val inFlight: Int,
    val latencyNanos: Long = 0,
    val queued: Int = 0,
    val slots: Int = 0,
)
