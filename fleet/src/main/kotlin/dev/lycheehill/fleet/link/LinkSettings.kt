package dev.lycheehill.fleet.link

/**
 * Limits of a [Link] over sockets.
 *
 * @property idleCloseMs a connection on which nothing was received for this long is closed, so that a silent one is not kept.
 * @property maxConnections beyond this, the connection that has been idle longest is closed.
 * @property queueMessages messages that may wait for one connection; more are dropped.
 */
data class LinkSettings(
    val connectTimeoutMs: Long = 1_000,
    val idleCloseMs: Long = 10_000,
    val maxConnections: Int = 64,
    val queueMessages: Int = 256,
    val maxFrameBytes: Int = 1_048_576,
)
