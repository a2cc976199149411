package dev.lycheehill.node.api

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.core.JacksonException
import com.fasterxml.jackson.core.io.JsonStringEncoder
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.PropertyNamingStrategies

/** Reads and writes the JSON of the local API. Field names are in snake case. */
internal object ApiJson {
    // Created on first use, because the initialization of Jackson's data binding takes a sixth of a node's startup time.
    private val mapper by lazy { ObjectMapper().setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE) }

    /** Returns the body of an error response. The body is written without data binding, so the mapper is not created. */
    fun error(message: String): String = """{"error":"${String(JsonStringEncoder.getInstance().quoteAsString(message))}"}"""

    /** Returns [value] as JSON. */
    fun write(value: Any): String = mapper.writeValueAsString(value)

    /** Parses a JSON object whose fields are all in [knownFields], or returns a message that states the error in [text]. */
    fun readObject(
        text: String,
        knownFields: Set<String>,
    ): Either<String, JsonNode> =
        try {
            val node = mapper.readTree(text)
            val unknownFields = node.properties().map { it.key }.filter { it !in knownFields }
            when {
                !node.isObject -> "the body is not a JSON object".left()
                unknownFields.isNotEmpty() -> "unknown fields $unknownFields; known fields are $knownFields".left()
                else -> node.right()
            }
        } catch (e: JacksonException) {
            "not JSON: ${e.originalMessage}".left()
        }
}
