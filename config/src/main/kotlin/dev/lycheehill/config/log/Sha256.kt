package dev.lycheehill.config.log

import java.security.MessageDigest
import java.util.HexFormat

/** SHA-256 in lower-case hex digits. */
object Sha256 {
    /** Number of hex digits of a hash. */
    const val HEX_DIGITS: Int = 64

    private val HEX = Regex("[0-9a-f]{$HEX_DIGITS}")

    /** Hashes the concatenation of [parts]. */
    fun hex(vararg parts: ByteArray): String {
        val digest = MessageDigest.getInstance("SHA-256")
        parts.forEach(digest::update)
        return HexFormat.of().formatHex(digest.digest())
    }

    /** Tells whether [text] has the form of a hash. */
    fun isHash(text: String): Boolean = HEX.matches(text)
}
