package dev.lycheehill.node.dialect

/**
 * Health report of a healthy backend server.
 *
 * @property slots number of calls that the backend server can execute at a time.
 */
class BackendHealth(
    val instanceId: String,
    val slots: Int,
)
