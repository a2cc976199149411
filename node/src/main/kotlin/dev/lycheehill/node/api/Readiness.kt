package dev.lycheehill.node.api

/**
 * Response of `GET /readyz`.
 *
 * @property ready whether the node is ready to serve calls.
 * @property reason reason why the node is not ready; null when it is.
 */
data class Readiness(
    val ready: Boolean,
    val reason: String?,
)
