package dev.lycheehill.platformlog.http

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import dev.lycheehill.config.log.LogEntry
import dev.lycheehill.platformlog.LogPage
import java.io.IOException

/**
 * JSON codec for the response bodies of the log's HTTP protocol. Decoding throws [IOException] for a body that does not follow
 * the protocol.
 */
object LogJson {
    private val mapper = ObjectMapper()

    /** Encodes the response to an append that got [offset]. */
    fun encodeAppendResponse(offset: Long): ByteArray = mapper.writeValueAsBytes(mapper.createObjectNode().put("offset", offset))

    /** Returns the offset stated in the response to an append. */
    fun decodeAppendResponse(body: ByteArray): Long = parseTree(body).long("offset")

    /** Encodes the response to a read. */
    fun encodePage(page: LogPage): ByteArray {
        val root = mapper.createObjectNode()
        root.put("first", page.firstRetainedOffset)
        root.put("next", page.nextOffset)
        val records = root.putArray("records")
        page.entries.forEach { records.addObject().put("offset", it.offset).put("payload", it.payload) }
        return mapper.writeValueAsBytes(root)
    }

    /** Decodes the response to a read. */
    fun decodePage(body: ByteArray): LogPage {
        val root = parseTree(body)
        val records = root.path("records")
        if (!records.isArray) throw IOException("records is not a list")
        return LogPage(
            entries = records.map { LogEntry(it.long("offset"), it.path("payload").binaryValue() ?: throw IOException("no payload")) },
            firstRetainedOffset = root.long("first"),
            nextOffset = root.long("next"),
        )
    }

    private fun parseTree(body: ByteArray): JsonNode = mapper.readTree(body)

    private fun JsonNode.long(key: String): Long =
        path(key).takeIf { it.canConvertToLong() && it.isIntegralNumber }?.longValue() ?: throw IOException("$key is not an integer")
}
