package dev.lycheehill.calls.keys

import kotlinx.serialization.Serializable
import java.nio.ByteBuffer
import java.security.MessageDigest

/** Hash of an idempotency key in its domain: the first 128 bits of the SHA-256 of both. */
@Serializable
data class KeyHash(
    val high: Long,
    val low: Long,
) {
    companion object {
        private val digests = ThreadLocal.withInitial { MessageDigest.getInstance("SHA-256") }

        /** Returns the hash of [key] in [domain]. */
        fun of(
            domain: String,
            key: String,
        ): KeyHash {
            val digest = digests.get()
            digest.update(domain.encodeToByteArray())
            // A zero byte between domain and key, so that for example (ab, c) and (a, bc) have different hashes.
            digest.update(0)
            val bytes = ByteBuffer.wrap(digest.digest(key.encodeToByteArray()))
            return KeyHash(bytes.getLong(), bytes.getLong())
        }
    }
}
