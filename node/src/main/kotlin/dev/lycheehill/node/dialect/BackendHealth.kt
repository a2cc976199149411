package dev.lycheehill.node.dialect

/**
 * What a healthy backend server says of itself.
 *
 * @property slots calls that it can run at a time.
 */
class BackendHealth(
    val instanceId: String,
    val slots: Int,
)
