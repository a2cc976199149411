package dev.lycheehill.node.settings

/**
 * Bounds on what one node accepts and holds.
 *
 * @property maxHeaderBytes size of all headers of one message.
 * @property maxInitialLineBytes size of the request or status line.
 * @property maxRequestBodyBytes size of a request body.
 * @property maxBufferedResponseBytes responses up to this size are buffered whole; longer ones are streamed.
 * @property headerTimeoutMs time for the headers of one request to arrive, in milliseconds.
 * @property maxConnections callers' connections at a time.
 * @property maxConnectionsPerTarget pooled connections to one target.
 * @property maxKeys idempotency keys in the table.
 * @property eventLoopThreads threads of the data path.
 */
data class NodeLimits(
    val maxHeaderBytes: Int = 32 * 1024,
    val maxInitialLineBytes: Int = 8 * 1024,
    val maxRequestBodyBytes: Int = 8 * 1024 * 1024,
    val maxBufferedResponseBytes: Int = 256 * 1024,
    val headerTimeoutMs: Int = 10_000,
    val maxConnections: Int = 4_096,
    val maxConnectionsPerTarget: Int = 110,
    val maxKeys: Int = 300_000,
    val eventLoopThreads: Int = 2,
)
