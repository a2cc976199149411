package dev.lycheehill.platformlog.http

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import dev.lycheehill.config.log.LogEntry
import dev.lycheehill.platformlog.LogPage
import java.io.IOException

/** JSON bodies of the log's HTTP protocol. Reading throws [IOException] for a body that is not of the protocol. */
object LogJson {
    private val mapper = ObjectMapper()

    /** Body of the answer to an append. */
    fun encodeAppendResponse(offset: Long): ByteArray = mapper.writeValueAsBytes(mapper.createObjectNode().put("offset", offset))

    /** Reads the offset from the answer to an append. */
    fun decodeAppendResponse(body: ByteArray): Long = tree(body).long("offset")

    /** Body of the answer to a read. */
    fun encodePage(page: LogPage): ByteArray {
        val root = mapper.createObjectNode()
        root.put("first", page.firstRetainedOffset)
        root.put("next", page.nextOffset)
        val records = root.putArray("records")
        page.entries.forEach { records.addObject().put("offset", it.offset).put("payload", it.payload) }
        return mapper.writeValueAsBytes(root)
    }

    /** Reads the answer to a read. */
    fun decodePage(body: ByteArray): LogPage {
        val root = tree(body)
        val records = root.path("records")
        if (!records.isArray) throw IOException("records is no list")
        return LogPage(
            entries = records.map { LogEntry(it.long("offset"), it.path("payload").binaryValue() ?: throw IOException("no payload")) },
            firstRetainedOffset = root.long("first"),
            nextOffset = root.long("next"),
        )
    }

    private fun tree(body: ByteArray): JsonNode = mapper.readTree(body)

    private fun JsonNode.long(key: String): Long =
        path(key).takeIf { it.canConvertToLong() && it.isIntegralNumber }?.longValue() ?: throw IOException("$key is no whole number")
}
