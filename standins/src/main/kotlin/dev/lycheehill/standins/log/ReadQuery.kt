package dev.lycheehill.standins.log

import io.netty.handler.codec.http.QueryStringDecoder

/** Parameters of a read. */
internal data class ReadQuery(
    val stream: String,
    val from: Long,
    val max: Int,
    val waitMs: Long,
) {
    companion object {
        private const val DEFAULT_MAX = 256L
        private const val MAX_WAIT_MS = 60_000L

        /** Reads the parameters of [uri]; null when one is no number or out of range. */
        fun of(
            stream: String,
            uri: QueryStringDecoder,
        ): ReadQuery? {
            val from = uri.number("from", 0) ?: return null
            val max = uri.number("max", DEFAULT_MAX) ?: return null
            val waitMs = uri.number("wait_ms", 0) ?: return null
            if (from < 0 || max !in 1..Int.MAX_VALUE || waitMs !in 0..MAX_WAIT_MS) return null
            return ReadQuery(stream, from, max.toInt(), waitMs)
        }

        private fun QueryStringDecoder.number(
            name: String,
            default: Long,
        ): Long? {
            val text = parameters()[name]?.firstOrNull() ?: return default
            return text.toLongOrNull()
        }
    }
}
