package dev.lycheehill.fleet.link

/** Address of a node's link, as `ip:port`. */
@JvmInline
value class PeerAddress(
    val text: String,
) {
    /** IP address part. */
    val host: String get() = text.substringBeforeLast(':')

    /** Port part; 0 when it is missing. */
    val port: Int get() = text.substringAfterLast(':').toIntOrNull() ?: 0

    override fun toString(): String = text
}
