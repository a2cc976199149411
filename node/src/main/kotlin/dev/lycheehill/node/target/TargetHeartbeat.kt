package dev.lycheehill.node.target

import dev.lycheehill.fleet.membership.MemberState

/**
 * What a backend server says of itself from time to time.
 *
 * @property instanceId name of this start of the backend server; a restart may use it again.
 * @property startedAtMs wall time of its start in milliseconds; 0 when it does not say.
 * @property sequence increases with each heartbeat of one start, so that a late one is recognised.
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
