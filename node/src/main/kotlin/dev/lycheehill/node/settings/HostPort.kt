package dev.lycheehill.node.settings

/**
 * A host and a TCP port, written as `host:port` or `[ipv6]:port`.
 *
 * @property host host name, IPv4 address, or IPv6 address without brackets.
 * @property port port within 0..65535; 0 lets the operating system choose a free port.
 */
data class HostPort(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = if (':' in host) "[$host]:$port" else "$host:$port"

    companion object {
        private val PATTERN = Regex("""(?:\[([0-9a-fA-F:.]+)]|([0-9A-Za-z.-]+)):(\d{1,5})""")
        private const val MAX_PORT = 65_535

        /** Parses [text], or returns null if its form is not valid or its port is out of range. */
        fun parseOrNull(text: String): HostPort? {
            val match = PATTERN.matchEntire(text) ?: return null
            val (ipv6, name, port) = match.destructured
            return HostPort(ipv6.ifEmpty { name }, port.toInt()).takeIf { it.port <= MAX_PORT }
        }

        /** Address of the loopback interface with port 0, for which the operating system chooses a free port. */
        val LOOPBACK_FREE_PORT = HostPort("127.0.0.1", 0)
    }
}
