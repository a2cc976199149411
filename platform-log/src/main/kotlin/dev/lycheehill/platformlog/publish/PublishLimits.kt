package dev.lycheehill.platformlog.publish

/**
 * Time limits of a publish, in milliseconds.
 *
 * @property appendTimeoutMs for appending the patch, with retries.
 * @property searchTimeoutMs for finding the outcome in the log after each append.
 * @property fenceTimeoutMs for appending the fence, with retries.
 * @property inForceTimeoutMs for the accepted version to come into force on all nodes.
 * @property inForcePollIntervalMs between two counts of the nodes.
 */
data class PublishLimits(
    val appendTimeoutMs: Long = 5_000,
    val searchTimeoutMs: Long = 2_000,
    val fenceTimeoutMs: Long = 5_000,
    val inForceTimeoutMs: Long = 13_000,
    val inForcePollIntervalMs: Long = 100,
)
