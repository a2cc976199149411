package dev.lycheehill.fleet.link

/** Address of the link of a node, in the form `ip:port`. */
@JvmInline
value class PeerAddress(
    val text: String,
) {
    /** IP address. */
    val host: String get() = text.substringBeforeLast(':')

    /** Port; 0 when [text] has no valid port. */
    val port: Int get() = text.substringAfterLast(':').toIntOrNull() ?: 0

    override fun toString(): String = text
}
