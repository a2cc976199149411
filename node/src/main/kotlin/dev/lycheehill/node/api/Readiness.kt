package dev.lycheehill.node.api

/** Answer of `/readyz`: whether the node serves callers, and the reason if it does not. */
data class Readiness(
    val ready: Boolean,
    val reason: String?,
)
