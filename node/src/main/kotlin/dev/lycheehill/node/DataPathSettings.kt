package dev.lycheehill.node

import dev.lycheehill.node.settings.HostPort
import dev.lycheehill.node.settings.NodeSettings

/**
 * Addresses, limits and timeouts of the data path of one node.
 *
 * @property egress address that the listener for callers binds.
 * @property ingress address that the listener for other nodes binds.
 * @property localApi address that the listener for the target and for operators binds.
 * @property eventLoopCount number of event loop threads. A call stays on one event loop, because each has its own connection pools.
 * @property maxInitialLineBytes maximum size of a request line or status line.
 * @property maxHeaderBytes maximum size of all headers of one message.
 * @property maxBodyBytes maximum size of a request body.
 * @property maxBufferedResponseBytes maximum size of a response that is received completely before it is forwarded.
 * @property headerTimeoutMs time from the first byte of a request to the end of its headers.
 * @property bodyTimeoutMs maximum pause within a request body.
 * @property callerIdleTimeoutMs time after which a caller's connection without calls is closed.
 * @property connectTimeoutMs time for a connection to a peer to be established.
 * @property upstreamMaxIdleMs idle time after which a connection to a peer is not reused, because the peer may no longer respond on it.
 * @property maxConnections maximum number of connections to one listener.
 * @property maxConnectionsPerPeer maximum number of connections from one event loop to one peer.
 * @property drainTimeoutMs maximum time that a graceful shutdown waits for the calls in flight.
 * @property targetLeaseMs lease of a target whose announcement states no lease.
 * @property deadlineGraceMs time after the deadline of a call in which the node still awaits the response of a backend server that
 * itself stops at the deadline.
 * @property endsSilentCalls whether a call is ended before its deadline if no byte of its response arrives for too long.
 * @property retriesServerErrors whether an idempotent call that failed with a server error is retried on another backend server.
 * @property propagatesRetryAllowance whether each call states its retry allowance. The allowance is useful where calls carry a trace
 * context, which links a call to its child calls.
 * @property callerService service of this node's instance, which backend servers are told; empty if the instance has no service.
 * @property keepAliveIdleS idle time in seconds after which TCP keep-alive probes a connection to a peer; 0 disables the probes.
 * @property seed seed of all random choices on the data path.
 */
data class DataPathSettings(
    val egress: HostPort = HostPort.LOOPBACK_FREE_PORT,
    val ingress: HostPort = HostPort.LOOPBACK_FREE_PORT,
    val localApi: HostPort = HostPort.LOOPBACK_FREE_PORT,
    val eventLoopCount: Int = 2,
    val maxInitialLineBytes: Int = 8 * 1024,
    val maxHeaderBytes: Int = 32 * 1024,
    val maxBodyBytes: Int = 8 * 1024 * 1024,
    val maxBufferedResponseBytes: Int = 256 * 1024,
    val headerTimeoutMs: Long = 10_000,
    val bodyTimeoutMs: Long = 10_000,
    val callerIdleTimeoutMs: Long = 60_000,
    val connectTimeoutMs: Int = 1_000,
    val upstreamMaxIdleMs: Long = 10_000,
    val maxConnections: Int = 4_096,
    val maxConnectionsPerPeer: Int = 110,
    val drainTimeoutMs: Long = 30_000,
    val targetLeaseMs: Long = 5_000,
    val deadlineGraceMs: Long = 0,
    val endsSilentCalls: Boolean = true,
    val retriesServerErrors: Boolean = false,
    val propagatesRetryAllowance: Boolean = true,
    val callerService: String = "",
    val keepAliveIdleS: Int = 0,
    val seed: Long = 1,
) {
    /** Converts the settings of a node. */
    companion object {
        /** Returns the data path settings that follow from [settings]. */
        fun of(settings: NodeSettings): DataPathSettings =
            DataPathSettings(
                egress = settings.addresses.egress,
                ingress = settings.addresses.ingress,
                localApi = settings.addresses.localApi,
                eventLoopCount = settings.limits.eventLoopThreads,
                maxInitialLineBytes = settings.limits.maxInitialLineBytes,
                maxHeaderBytes = settings.limits.maxHeaderBytes,
                maxBodyBytes = settings.limits.maxRequestBodyBytes,
                maxBufferedResponseBytes = settings.limits.maxBufferedResponseBytes,
                headerTimeoutMs = settings.limits.headerTimeoutMs.toLong(),
                maxConnections = settings.limits.maxConnections,
                maxConnectionsPerPeer = settings.limits.maxConnectionsPerTarget,
                drainTimeoutMs = settings.shutdownMs.toLong(),
                targetLeaseMs = settings.leaseMs.toLong(),
                // Different nodes make different random choices, and a node makes the same choices again after a restart.
                seed = settings.nodeId.hashCode().toLong(),
            )
    }
}
