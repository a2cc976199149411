package dev.lycheehill.config.patch

/** Limits of the values in a patch. All nodes must use the same limits, because the fold refuses patches that violate them. */
object PatchLimits {
    /** Longest text of a patch, in bytes of UTF-8. */
    const val MAX_TEXT_BYTES: Int = 64 * 1024

    internal val TIMEOUT_MS = 1..600_000
    internal val IN_FLIGHT_CALLS = 1..10_000
    internal val QUEUED_CALLS = 0..100_000
    internal val HEDGE_PERCENT = 0..50
    internal val WEIGHT = 0..10_000
    internal val ATTEMPTS = 1..5
    internal const val MAX_PATH_CHARS = 512

    private val NAME = Regex("[A-Za-z0-9][A-Za-z0-9_-]{0,62}")
    private val HOST = Regex("[a-z0-9]([a-z0-9.-]{0,252})")
    private val METHOD = Regex("[A-Z][A-Z-]{0,19}")
    private val PATH = Regex("(/[A-Za-z0-9._~!$&'()*+,;=:@%-]+)+|/")

    internal const val NAME_RULE = "letters, digits, \"-\" or \"_\", at most 63 characters"

    internal fun isName(text: String): Boolean = NAME.matches(text)

    internal fun isHost(text: String): Boolean = text == "*" || HOST.matches(text)

    internal fun isMethod(text: String): Boolean = METHOD.matches(text)

    internal fun isPathPrefix(text: String): Boolean = text.length <= MAX_PATH_CHARS && PATH.matches(text)
}
