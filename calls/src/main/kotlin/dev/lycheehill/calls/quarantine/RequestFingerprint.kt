package dev.lycheehill.calls.quarantine

import kotlinx.serialization.Serializable
import java.nio.ByteBuffer
import java.security.MessageDigest

/** Fingerprint of a request: the first 128 bits of the SHA-256 of method, path, query and the first [BODY_PREFIX_BYTES] of the body. */
@Serializable
data class RequestFingerprint(
    val high: Long,
    val low: Long,
) {
    /** Returns the fingerprint as 32 hexadecimal digits, as shown to operators. */
    override fun toString(): String = "%016x%016x".format(high, low)

    companion object {
        /** Number of leading bytes of the body that the fingerprint covers. */
        const val BODY_PREFIX_BYTES = 4_096
        private const val HEX_DIGITS = 32
        private val digests = ThreadLocal.withInitial { MessageDigest.getInstance("SHA-256") }

        /** Returns the fingerprint of a request. [uri] is the path with the query. */
        fun of(
            method: String,
            uri: String,
            bodyPrefix: ByteArray,
        ): RequestFingerprint {
            val digest = digests.get()
            digest.update(method.encodeToByteArray())
            digest.update(0)
            digest.update(uri.encodeToByteArray())
            digest.update(0)
            digest.update(bodyPrefix, 0, minOf(bodyPrefix.size, BODY_PREFIX_BYTES))
            val bytes = ByteBuffer.wrap(digest.digest())
            return RequestFingerprint(bytes.getLong(), bytes.getLong())
        }

        /** Parses [text] in the format of [toString]. Returns null if [text] is malformed. */
        fun parse(text: String): RequestFingerprint? {
            if (text.length != HEX_DIGITS || !text.all { it in '0'..'9' || it in 'a'..'f' }) return null
            return RequestFingerprint(text.take(16).toULong(16).toLong(), text.drop(16).toULong(16).toLong())
        }
    }
}
