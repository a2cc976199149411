package dev.lycheehill.node.target

import dev.lycheehill.fleet.membership.MemberState

/**
 * State that a backend server periodically reports about itself.
 *
 * @property instanceId name that the process of the backend server chose; a later process may choose the same name.
 * @property startedAtMs wall time of the start of that process in milliseconds since the Unix epoch; 0 if not stated.
 * @property sequence number that increases with each heartbeat of one process, so that late heartbeats are recognised.
 * @property address address of the backend server, written as `ip:port`.
 * @property slots number of calls that the backend server can run at a time.
 */
data class TargetHeartbeat(
    val instanceId: String,
    val startedAtMs: Long,
    val sequence: Long,
    val service: String,
    val address: String,
    val state: MemberState,
    val slots: Int,
)
