package dev.lycheehill.fleet.link

/**
 * Limits of a [Link] over sockets.
 *
 * @property connectTimeoutMs longest time to open a connection.
 * @property idleCloseMs time without a received message after which a connection is closed, so that broken connections are not kept.
 * @property maxConnections largest number of connections; beyond it, the connections that have been idle longest are closed.
 * @property queueMessages largest number of messages queued for one connection; further messages are dropped.
 * @property maxFrameBytes length of the longest message.
 */
data class LinkSettings(
    val connectTimeoutMs: Long = 1_000,
    val idleCloseMs: Long = 10_000,
    val maxConnections: Int = 64,
    val queueMessages: Int = 256,
    val maxFrameBytes: Int = 1_048_576,
)
