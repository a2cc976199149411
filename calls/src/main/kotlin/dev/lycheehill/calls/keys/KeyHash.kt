package dev.lycheehill.calls.keys

import java.nio.ByteBuffer
import java.security.MessageDigest

/** First 128 bits of the SHA-256 of an idempotency key and its domain. */
data class KeyHash(
    val high: Long,
    val low: Long,
) {
    companion object {
        private val digests = ThreadLocal.withInitial { MessageDigest.getInstance("SHA-256") }

        /** Hash of [key] in [domain]. */
        fun of(
            domain: String,
            key: String,
        ): KeyHash {
            val digest = digests.get()
            digest.update(domain.encodeToByteArray())
            // Separates the two parts, which could otherwise be split differently with the same bytes.
            digest.update(0)
            val bytes = ByteBuffer.wrap(digest.digest(key.encodeToByteArray()))
            return KeyHash(bytes.getLong(), bytes.getLong())
        }
    }
}
