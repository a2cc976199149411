package dev.lycheehill.calls.keys

/** Time that an idempotency key carries. */
object KeyTime {
    private val UUID_7 = Regex("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}")

    /** Milliseconds since the Unix epoch of a UUID of version 7 (RFC 9562); null for any other key. */
    fun ofKey(key: String): Long? =
        if (key.length == 36 && UUID_7.matches(key)) (key.substring(0, 8) + key.substring(9, 13)).toLong(16) else null
}
