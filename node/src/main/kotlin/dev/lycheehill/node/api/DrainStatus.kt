package dev.lycheehill.node.api

/**
 * Response of `POST /v1/drain`.
 *
 * @property inFlight calls that the target is still running.
 */
data class DrainStatus(
    val draining: Boolean,
    val inFlight: Int,
)
