package dev.lycheehill.platformlog.publish

/**
 * Timeouts of a publish, in milliseconds.
 *
 * @property appendTimeoutMs timeout for appending the patch, retries included.
 * @property searchTimeoutMs timeout for finding the outcome in the log after each append.
 * @property fenceTimeoutMs timeout for appending the fence, retries included.
 * @property inForceTimeoutMs time that the publish waits for the accepted version to come into force on all nodes.
 * @property inForcePollIntervalMs interval between two counts of the nodes on which the version is in force.
 */
data class PublishLimits(
    val appendTimeoutMs: Long = 5_000,
    val searchTimeoutMs: Long = 2_000,
    val fenceTimeoutMs: Long = 5_000,
    val inForceTimeoutMs: Long = 13_000,
    val inForcePollIntervalMs: Long = 100,
)
