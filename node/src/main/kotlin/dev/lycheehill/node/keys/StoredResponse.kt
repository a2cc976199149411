package dev.lycheehill.node.keys

import java.nio.ByteBuffer

/**
 * Response of a backend server, stored to answer repeated requests with the same idempotency key.
 *
 * The encoded form consists of the status (2 bytes), the length of the content type (2 bytes), the content type in UTF-8 and
 * the body.
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

        /** Decodes [bytes], which must come from [encode]. */
        fun decode(bytes: ByteArray): StoredResponse {
            val buffer = ByteBuffer.wrap(bytes)
            val status = buffer.getShort().toInt()
            val type = ByteArray(buffer.getShort().toInt()).also(buffer::get)
            val body = ByteArray(buffer.remaining()).also(buffer::get)
            return StoredResponse(status, type.decodeToString(), body)
        }
    }
}
