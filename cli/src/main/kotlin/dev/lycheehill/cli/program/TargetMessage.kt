package dev.lycheehill.cli.program

/**
 * Body of `PUT /v1/target`.
 *
 * @property address `ip:port` of the backend server.
 */
data class TargetMessage(
    val service: String,
    val address: String,
    val slots: Int,
    val leaseMs: Long,
    val state: String = "READY",
)
