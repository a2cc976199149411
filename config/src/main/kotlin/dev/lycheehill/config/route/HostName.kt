package dev.lycheehill.config.route

/** Normalizes the host of a request. */
internal object HostName {
    /** Returns the host of [authority] in lower case, without the port and without a trailing dot. */
    fun of(authority: String): String = withoutPort(authority).removeSuffix(".").lowercase()

    private fun withoutPort(authority: String): String {
        val colon = authority.lastIndexOf(':')
        // A colon inside the brackets of an IPv6 address does not separate a port.
        return if (colon > authority.lastIndexOf(']')) authority.substring(0, colon) else authority
    }
}
