package dev.lycheehill.cli.program

/**
 * JSON body of `PUT /v1/target`, which announces a backend server to its node.
 *
 * @property service name of the service.
 * @property address address of the backend server as `ip:port`.
 * @property slots maximum number of calls that the backend server runs concurrently.
 * @property leaseMs duration of the lease in milliseconds.
 * @property state state of the backend server.
 */
data class TargetMessage(
    val service: String,
    val address: String,
    val slots: Int,
    val leaseMs: Long,
    val state: String = "READY",
)
