package dev.lycheehill.node.api

/** Answer of `POST /v1/drain`. */
data class DrainStatus(
    val draining: Boolean,
    val inFlight: Int,
)
