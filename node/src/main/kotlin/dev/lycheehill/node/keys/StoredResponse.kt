package dev.lycheehill.node.keys

import java.nio.ByteBuffer

/**
 * Answer of a backend server, kept for repetitions of a request.
 *
 * Encoded as status (2 bytes), length of the content type (2 bytes), content type, body.
 */
class StoredResponse(
    val status: Int,
    val contentType: String,
    val body: ByteArray,
) {
    /** Returns the encoded form. */
    fun encode(): ByteArray {
        val type = contentType.encodeToByteArray()
        return ByteBuffer
            .allocate(HEADER_BYTES + type.size + body.size)
            .putShort(status.toShort())
            .putShort(type.size.toShort())
            .put(type)
            .put(body)
            .array()
    }

    companion object {
        private const val HEADER_BYTES = 4

        /** Reverses [encode]. */
        fun decode(bytes: ByteArray): StoredResponse {
            val buffer = ByteBuffer.wrap(bytes)
            val status = buffer.getShort().toInt()
            val type = ByteArray(buffer.getShort().toInt()).also(buffer::get)
            val body = ByteArray(buffer.remaining()).also(buffer::get)
            return StoredResponse(status, type.decodeToString(), body)
        }
    }
}
