package dev.lycheehill.platformlog.publish

/**
 * Time limits of a publish, in milliseconds.
 *
 * @property sendMs for appending the patch, with retries.
 * @property searchMs for finding the outcome in the log after each append.
 * @property fenceMs for appending the fence, with retries.
 * @property inForceMs for the accepted version to come into force on all nodes.
 * @property inForcePollMs between two counts of the nodes.
 */
data class PublishLimits(
    val sendMs: Long = 5_000,
    val searchMs: Long = 2_000,
    val fenceMs: Long = 5_000,
    val inForceMs: Long = 13_000,
    val inForcePollMs: Long = 100,
)
