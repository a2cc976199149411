package dev.lycheehill.node.program

import dev.lycheehill.node.settings.HostPort

/**
 * Settings of a [StoreBackedNode]. Times are in milliseconds.
 *
 * @property service service of the backend server beside the node.
 * @property backend address of that backend server.
 * @property egress address for callers.
 * @property ingress address for calls from other nodes.
 * @property peer address for heartbeats and sync requests from other nodes.
 * @property localApi address of the API for the backend server and for operators.
 * @property graceMs time after the begin of a stop at which the platform kills the process.
 * @property deadlineGraceMs time after the deadline for which the node waits for the response of a backend server that stops
 *   work at the deadline.
 * @property leaseMs time after its last heartbeat for which the backend server counts as alive. Heartbeats may be late by
 *   seconds. The lease need not be short, because calls notice a backend server that accepts no connection.
 * @property connectTimeoutMs longest wait for a connection to another node. It covers many round trips between zones and is
 *   a fraction of the shortest time that callers wait, 400 ms.
 */
data class StoreBackedNodeSettings(
    val nodeId: String,
    val zone: String,
    val region: String,
    val service: String,
    val backend: HostPort,
    val egress: HostPort,
    val ingress: HostPort,
    val peer: HostPort,
    val localApi: HostPort,
    val graceMs: Long = 6_000,
    val deadlineGraceMs: Long = 60,
    val leaseMs: Long = 20_000,
    val connectTimeoutMs: Int = 120,
)
