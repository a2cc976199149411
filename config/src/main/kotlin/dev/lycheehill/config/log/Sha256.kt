package dev.lycheehill.config.log

import java.security.MessageDigest
import java.util.HexFormat

/** Computes SHA-256 hashes, in lower-case hex digits. */
object Sha256 {
    /** Length of a hash, in hex digits. */
    const val HEX_DIGITS: Int = 64

    private val HASH_PATTERN = Regex("[0-9a-f]{$HEX_DIGITS}")

    /** Returns the hash of the concatenation of [parts]. */
    fun hex(vararg parts: ByteArray): String {
        val digest = MessageDigest.getInstance("SHA-256")
        parts.forEach(digest::update)
        return HexFormat.of().formatHex(digest.digest())
    }

    /** Returns whether [text] has the form of a hash. */
    fun isHash(text: String): Boolean = HASH_PATTERN.matches(text)
}
