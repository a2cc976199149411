package dev.lycheehill.calls.balancing

/**
 * Load that a target's node put on a response.
 *
 * @property inFlight calls that the target runs for all callers together.
 * @property latencyNanos mean duration of the target's recent calls; 0 when unknown.
 * @property queued calls that wait at the target's node.
 * @property slots calls that the target can run at a time; 0 when unknown.
 */
data class LoadReport(
    val inFlight: Int,
    val latencyNanos: Long = 0,
    val queued: Int = 0,
    val slots: Int = 0,
)
