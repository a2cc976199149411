package dev.lycheehill.config.route

/** Normal form of the host of a request. */
internal object HostName {
    /** Returns [authority] in lower case, without port and trailing dot. */
    fun of(authority: String): String = withoutPort(authority).removeSuffix(".").lowercase()

    private fun withoutPort(authority: String): String {
        val colon = authority.lastIndexOf(':')
        // A colon inside the brackets of an IPv6 address is no port separator.
        return if (colon > authority.lastIndexOf(']')) authority.substring(0, colon) else authority
    }
}
