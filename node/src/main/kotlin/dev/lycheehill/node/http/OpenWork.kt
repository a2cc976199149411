package dev.lycheehill.node.http

/**
 * Unfinished work of one listener.
 *
 * @property connections number of open connections.
 * @property calls number of complete requests whose responses are not complete.
 * @property unsentBytes bytes of responses that were written and that the operating system has not accepted, with the overhead
 *   that Netty adds for each part.
 */
internal data class OpenWork(
    val connections: Int,
    val calls: Int,
    val unsentBytes: Long,
)
