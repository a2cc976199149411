package dev.lycheehill.standins.log

import io.netty.handler.codec.http.QueryStringDecoder

/**
 * Parameters of a request that reads records.
 *
 * @property stream name of the stream.
 * @property fromOffset offset of the first record to return.
 * @property maxRecords maximum number of records in the response.
 * @property waitMs maximum time to wait for a record, in milliseconds.
 */
internal data class ReadQuery(
    val stream: String,
    val fromOffset: Long,
    val maxRecords: Int,
    val waitMs: Long,
) {
    companion object {
        private const val DEFAULT_MAX = 256L
        private const val MAX_WAIT_MS = 60_000L

        /** Parses the query parameters of [uri]. Returns null if a parameter is not a number or is out of range. */
        fun parse(
            stream: String,
            uri: QueryStringDecoder,
        ): ReadQuery? {
            val fromOffset = uri.longParameter("from", 0) ?: return null
            val maxRecords = uri.longParameter("max", DEFAULT_MAX) ?: return null
            val waitMs = uri.longParameter("wait_ms", 0) ?: return null
            if (fromOffset < 0 || maxRecords !in 1..Int.MAX_VALUE || waitMs !in 0..MAX_WAIT_MS) return null
            return ReadQuery(stream, fromOffset, maxRecords.toInt(), waitMs)
        }

        private fun QueryStringDecoder.longParameter(
            name: String,
            default: Long,
        ): Long? {
            val text = parameters()[name]?.firstOrNull() ?: return default
            return text.toLongOrNull()
        }
    }
}
