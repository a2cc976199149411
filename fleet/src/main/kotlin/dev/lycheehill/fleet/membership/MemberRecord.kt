package dev.lycheehill.fleet.membership

import kotlinx.serialization.Serializable

private const val MAX_PORT = 65_535

// Far above the wall time in milliseconds at which incarnations start, and far below the overflow.
private const val MAX_INCARNATION = 1L shl 53

/**
 * Membership record of one node and of the target next to it.
 *
 * @property incarnation number that only the node itself raises. Of two records of a node, the one with the higher incarnation wins.
 * @property service name of the target's service; empty until the target has registered.
 * @property controlAddress `ip:port` of the node's link to other nodes.
 * @property dataAddress `ip:port` at which the node accepts calls for its target.
 * @property slots number of calls that the target can run concurrently.
 * @property bootId number that changes only when the node's process starts, whereas [incarnation] also rises while the process runs.
 * @property departure most recent process instance of the target that has announced its shutdown, if any.
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
    /** Whether both addresses consist of a host and a valid port. */
    val hasAddresses: Boolean get() = isAddress(controlAddress) && isAddress(dataAddress)

    /** Returns why this record, which may come from a foreign writer, cannot be used; null if it can. */
    fun invalidReason(): String? =
        when {
            !hasAddresses -> "an address is not ip:port"
            incarnation !in 0..MAX_INCARNATION -> "incarnation is out of range"
            slots < 0 -> "slots is negative"
            else -> null
        }

    private fun isAddress(text: String): Boolean =
        text.substringBeforeLast(':', "").isNotEmpty() && text.substringAfterLast(':').toIntOrNull() in 1..MAX_PORT
}
