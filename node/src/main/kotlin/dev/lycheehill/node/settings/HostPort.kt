package dev.lycheehill.node.settings

/**
 * IP address and TCP port in the form `ip:port` or `[ipv6]:port`.
 *
 * @property port 0..65535; 0 lets the operating system choose.
 */
data class HostPort(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = if (':' in host) "[$host]:$port" else "$host:$port"

    companion object {
        private val FORM = Regex("""(?:\[([0-9a-fA-F:.]+)]|([0-9A-Za-z.-]+)):(\d{1,5})""")
        private const val MAX_PORT = 65_535

        /** Parses [text]; returns null when it has another form or the port is out of range. */
        fun parseOrNull(text: String): HostPort? {
            val match = FORM.matchEntire(text) ?: return null
            val (ipv6, name, port) = match.destructured
            return HostPort(ipv6.ifEmpty { name }, port.toInt()).takeIf { it.port <= MAX_PORT }
        }

        /** Any free port on the loopback interface. */
        val ANY_LOOPBACK = HostPort("127.0.0.1", 0)
    }
}
