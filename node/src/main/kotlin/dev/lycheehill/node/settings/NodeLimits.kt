package dev.lycheehill.node.settings

/**
 * Limits on the messages, connections and keys of one node.
 *
 * @property maxHeaderBytes maximum size of all headers of one message.
 * @property maxInitialLineBytes maximum size of a request line or status line.
 * @property maxRequestBodyBytes maximum size of a request body.
 * @property maxBufferedResponseBytes maximum size of a response that is buffered completely. Larger responses are streamed.
 * @property headerTimeoutMs maximum time in milliseconds for the headers of one request to arrive.
 * @property maxConnections maximum number of connections from callers.
 * @property maxConnectionsPerTarget maximum number of pooled connections to one target.
 * @property maxKeys maximum number of idempotency keys that the node stores.
 * @property eventLoopThreads number of event loop threads of the data path.
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
