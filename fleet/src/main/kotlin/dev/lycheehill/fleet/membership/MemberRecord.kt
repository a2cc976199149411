package dev.lycheehill.fleet.membership

import kotlinx.serialization.Serializable

private const val MAX_PORT = 65_535

/**
 * One node and the target beside it.
 *
 * @property incarnation raised only by the node itself; the record with the higher one wins.
 * @property service name of the target's service; empty until the target has announced itself.
 * @property controlAddress `ip:port` of the node's link to other nodes.
 * @property dataAddress `ip:port` where the node accepts calls for its target.
 * @property slots calls that the target can run at a time.
 * @property bootId changes with each start of the node's process, unlike [incarnation], which also rises while it runs.
 * @property departure latest start of the backend server beside the node that has said that it leaves, if any.
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
    val departure: Departure? = null,
) {
    /** Whether both addresses can be connected to: a host and a port. */
    val hasAddresses: Boolean get() = isAddress(controlAddress) && isAddress(dataAddress)

    private fun isAddress(text: String): Boolean =
        text.substringBeforeLast(':', "").isNotEmpty() && text.substringAfterLast(':').toIntOrNull() in 1..MAX_PORT
}
