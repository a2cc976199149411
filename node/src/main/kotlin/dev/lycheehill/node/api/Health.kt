package dev.lycheehill.node.api

/** Answer of `/healthz`: the process runs. */
data class Health(
    val status: String,
)
