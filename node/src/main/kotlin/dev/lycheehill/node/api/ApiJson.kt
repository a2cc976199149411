package dev.lycheehill.node.api

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.core.JacksonException
import com.fasterxml.jackson.core.io.JsonStringEncoder
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.PropertyNamingStrategies

/** JSON of the local API. Names are in snake case. */
internal object ApiJson {
    // Made when a listener of the operator needs it: its start costs a sixth of that of a node.
    private val mapper by lazy { ObjectMapper().setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE) }

    /** Writes the body of a refusal, without the data binding. */
    fun error(message: String): String = """{"error":"${String(JsonStringEncoder.getInstance().quoteAsString(message))}"}"""

    fun write(value: Any): String = mapper.writeValueAsString(value)

    /** Parses an object that has no other fields than [known], or returns what is wrong with [text]. */
    fun readObject(
        text: String,
        known: Set<String>,
    ): Either<String, JsonNode> =
        try {
            val node = mapper.readTree(text)
            val unknown = node.properties().map { it.key }.filter { it !in known }
            when {
                !node.isObject -> "the body is not a JSON object".left()
                unknown.isNotEmpty() -> "unknown fields $unknown; known are $known".left()
                else -> node.right()
            }
        } catch (e: JacksonException) {
            "not JSON: ${e.originalMessage}".left()
        }
}
