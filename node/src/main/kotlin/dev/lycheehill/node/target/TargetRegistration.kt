package dev.lycheehill.node.target

import dev.lycheehill.fleet.membership.MemberState

/**
 * Registration of the backend server beside this node.
 *
 * @property address address of the backend server, written as `ip:port`.
 * @property slots number of calls that the backend server can run at a time.
 * @property leaseMs time in milliseconds after which the registration expires unless it is renewed.
 * @property instanceId name that the process of the backend server chose; empty if not stated.
 * @property startedAtMs wall time of the start of that process in milliseconds since the Unix epoch; 0 if not stated.
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
