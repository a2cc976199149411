package dev.lycheehill.node.api

/** Whether the node sends new work to its target, and the reason if it does not. */
data class TargetStatus(
    val serving: Boolean,
    val reason: String?,
)
