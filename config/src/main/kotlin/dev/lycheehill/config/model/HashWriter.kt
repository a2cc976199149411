package dev.lycheehill.config.model

import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Hashes a sequence of numbers and texts with SHA-256.
 *
 * Each text is preceded by its length in bytes, so the boundary between two texts is unambiguous.
 */
internal class HashWriter {
    private val digest = MessageDigest.getInstance("SHA-256")
    private val buffer = ByteBuffer.allocate(BUFFER_BYTES)

    fun writeInt(value: Int) {
        if (buffer.remaining() < Int.SIZE_BYTES) flush()
        buffer.putInt(value)
    }

    fun writeText(value: String) {
        val bytes = value.encodeToByteArray()
        writeInt(bytes.size)
        if (buffer.remaining() < bytes.size) flush()
        if (bytes.size <= buffer.remaining()) buffer.put(bytes) else digest.update(bytes)
    }

    /** Returns the hash in hex digits. The writer must not be used afterwards. */
    fun finish(): String {
        flush()
        return HexFormat.of().formatHex(digest.digest())
    }

    private fun flush() {
        digest.update(buffer.array(), 0, buffer.position())
        buffer.clear()
    }

    private companion object {
        const val BUFFER_BYTES = 8 * 1024
    }
}
