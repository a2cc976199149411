package dev.lycheehill.node.target

import dev.lycheehill.fleet.membership.MemberState

/**
 * What the backend server beside this node has announced.
 *
 * @property address `ip:port` of the backend server.
 * @property instanceId name that this start of the backend server gave itself; empty when it gave none.
 * @property startedAtMs wall time of that start in milliseconds; 0 when it does not say.
 * @property slots calls that it can run at a time.
 */
data class TargetRegistration(
    val service: String,
    val address: String,
    val state: MemberState,
    val slots: Int,
    val leaseMs: Long,
    val instanceId: String = "",
    val startedAtMs: Long = 0,
)
