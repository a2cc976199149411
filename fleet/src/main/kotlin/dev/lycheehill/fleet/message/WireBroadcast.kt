package dev.lycheehill.fleet.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Broadcast of another module that is gossiped to all nodes until it expires.
 *
 * @property id unique id of the broadcast.
 * @property topic topic by which the receiver selects the handler.
 * @property expiresInMs time in milliseconds from sending until the broadcast expires.
 */
@Serializable
class WireBroadcast(
    @SerialName("i") val id: String,
    @SerialName("t") val topic: String,
    @SerialName("b") val bytes: ByteArray,
    @SerialName("e") val expiresInMs: Long,
) {
    /** Estimated encoded size in bytes, used for byte budgets. */
    val sizeBytes: Int get() = FIXED_BYTES + id.length + topic.length + bytes.size

    private companion object {
        const val FIXED_BYTES = 20
    }
}
