package dev.lycheehill.node.api

/**
 * Response of the endpoints for the target.
 *
 * @property serving whether the node sends new calls to its target.
 * @property reason reason why the node sends no new calls to its target; null when it does.
 */
data class TargetStatus(
    val serving: Boolean,
    val reason: String?,
)
