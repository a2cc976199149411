package dev.lycheehill.node.program

import dev.lycheehill.node.settings.HostPort

/**
 * Settings of a [StoreBackedNode].
 *
 * @property service service of the backend server beside the node.
 * @property backend address of that backend server.
 * @property leaveNoticeMs time after the start of a stop for which callers are still served: the platform asks once a
 *   second whether the node is ready and takes it out after two answers.
 * @property stopMs longest duration of a stop; the process is killed soon after.
 * @property deadlineGraceMs time for which the answer of a backend server that stops at the deadline is awaited.
 * @property connectTimeoutMs longest wait for a connection to another node, many round trips between zones and a part of
 *   the shortest time that callers wait, 400 ms.
 * @property leaseMs time after its last announcement for which the backend server is taken to live. An announcement may
 *   be seconds late; a backend server that accepts no connection is noticed by the calls.
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
    val leaveNoticeMs: Long = 2_300,
    val stopMs: Long = 5_300,
    val deadlineGraceMs: Long = 60,
    val leaseMs: Long = 20_000,
    val connectTimeoutMs: Int = 120,
)
