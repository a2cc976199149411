package dev.lycheehill.calls.keys

/** Reads the time that is encoded in an idempotency key. */
object KeyTime {
    private val UUID_7 = Regex("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}")

    /** Returns the time of a UUID of version 7 (RFC 9562) in milliseconds since the Unix epoch, or null for any other key. */
    fun ofKey(key: String): Long? =
        if (key.length == 36 && UUID_7.matches(key)) (key.substring(0, 8) + key.substring(9, 13)).toLong(16) else null
}
