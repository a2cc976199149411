package dev.lycheehill.node

/**
 * Addresses and limits of the data path of one node.
 *
 * @property egressPort port for callers; 0 means any free port. The same holds for the other ports.
 * @property eventLoops threads that carry calls. Each has its own connection pools, so calls do not move between them.
 * @property maxBodyBytes longest accepted request body.
 * @property maxBufferedResponseBytes longest response that is received whole before a byte of it is forwarded.
 * @property headerTimeoutMs time from the first byte of a request to the end of its headers.
 * @property bodyTimeoutMs longest pause within a request body.
 * @property callerIdleTimeoutMs time after which a connection without calls is closed.
 * @property idleReuseMs idle time after which an upstream connection is replaced, because it may be silent.
 * @property maxConnectionsPerPeer connections to one peer from one event loop.
 * @property drainTimeoutMs longest wait for calls in flight in a graceful shutdown.
 * @property seed seed of all random choices on the data path.
 */
data class DataPathSettings(
    val host: String = "127.0.0.1",
    val egressPort: Int = 0,
    val ingressPort: Int = 0,
    val apiPort: Int = 0,
    val eventLoops: Int = 2,
    val maxInitialLineBytes: Int = 8 * 1024,
    val maxHeaderBytes: Int = 32 * 1024,
    val maxBodyBytes: Int = 8 * 1024 * 1024,
    val maxBufferedResponseBytes: Int = 256 * 1024,
    val headerTimeoutMs: Long = 10_000,
    val bodyTimeoutMs: Long = 10_000,
    val callerIdleTimeoutMs: Long = 60_000,
    val connectTimeoutMs: Int = 1_000,
    val idleReuseMs: Long = 10_000,
    val maxConnectionsPerPeer: Int = 110,
    val drainTimeoutMs: Long = 30_000,
    val seed: Long = 1,
)
