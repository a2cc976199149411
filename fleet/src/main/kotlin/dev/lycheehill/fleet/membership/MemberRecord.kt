package dev.lycheehill.fleet.membership

import kotlinx.serialization.Serializable

/**
 * One node and the target beside it.
 *
 * @property incarnation raised only by the node itself; the record with the higher one wins.
 * @property service name of the target's service; empty until the target has announced itself.
 * @property controlAddress `ip:port` of the node's link to other nodes.
 * @property dataAddress `ip:port` where the node accepts calls for its target.
 * @property slots calls that the target can run at a time.
 * @property bootId changes with each start of the node's process, unlike [incarnation], which also rises while it runs.
 */
@Serializable
data class MemberRecord(
    val nodeId: String,
    val incarnation: Long,
    val state: MemberState,
    val zone: String,
    val region: String,
    val service: String = "",
    val controlAddress: String,
    val dataAddress: String,
    val slots: Int = 0,
    val bootId: Long = 0,
)
