package dev.lycheehill.node.api

/** Response of `GET /healthz`, which states that the process is running. */
data class Health(
    val status: String,
)
