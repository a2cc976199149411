package dev.lycheehill.fleet.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A small fact that is gossiped to all nodes until it expires.
 *
 * @property id unique for each broadcast.
 * @property expiresInMs remaining life at the time of sending, in milliseconds.
 */
@Serializable
class WireBroadcast(
    @SerialName("i") val id: String,
    @SerialName("t") val topic: String,
    @SerialName("b") val bytes: ByteArray,
    @SerialName("e") val expiresInMs: Long,
) {
    /** Estimated encoded size, used for byte budgets. */
    val sizeBytes: Int get() = FIXED_BYTES + id.length + topic.length + bytes.size

    private companion object {
        const val FIXED_BYTES = 20
    }
}
