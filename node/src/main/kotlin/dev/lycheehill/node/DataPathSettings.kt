package dev.lycheehill.node

import dev.lycheehill.node.settings.HostPort
import dev.lycheehill.node.settings.NodeSettings

/**
 * Addresses and limits of the data path of one node.
 *
 * @property egress address for callers.
 * @property ingress address for other nodes.
 * @property localApi address for the target and for operators.
 * @property eventLoopCount threads that carry calls. Each has its own connection pools, so calls do not move between them.
 * @property maxBodyBytes longest accepted request body.
 * @property maxBufferedResponseBytes longest response that is received whole before a byte of it is forwarded.
 * @property headerTimeoutMs time from the first byte of a request to the end of its headers.
 * @property bodyTimeoutMs longest pause within a request body.
 * @property callerIdleTimeoutMs time after which a connection without calls is closed.
 * @property upstreamMaxIdleMs idle time after which an upstream connection is replaced, because it may be silent.
 * @property maxConnections connections to one listener.
 * @property maxConnectionsPerPeer connections to one peer from one event loop.
 * @property drainTimeoutMs longest wait for calls in flight in a graceful shutdown.
 * @property targetLeaseMs lease of a target that names none in its announcement.
 * @property deadlineGraceMs time beyond the deadline in which the answer of a backend server that stops at it is awaited.
 * @property endsSilentCalls whether a call without a byte of its answer is ended before its deadline.
 * @property retriesServerErrors whether an idempotent call that a backend server failed is sent to another one.
 * @property propagatesRetryAllowance whether the allowance of retries goes with each call; of use where calls carry a trace context.
 * @property callerService service of the instance of this node, told to backend servers; empty when there is none.
 * @property keepAliveIdleS idle seconds after which a connection to a peer is probed; 0 for no probes.
 * @property seed seed of all random choices on the data path.
 */
data class DataPathSettings(
    val egress: HostPort = HostPort.ANY_LOOPBACK,
    val ingress: HostPort = HostPort.ANY_LOOPBACK,
    val localApi: HostPort = HostPort.ANY_LOOPBACK,
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
    /** Conversion from the settings file. */
    companion object {
        /** Returns the part of [settings] that concerns the data path. */
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
                // Nodes make different random choices, and one node the same ones after a restart.
                seed = settings.nodeId.hashCode().toLong(),
            )
    }
}
