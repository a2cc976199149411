package dev.lycheehill.cli.output

import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.PropertyNamingStrategies
import com.fasterxml.jackson.databind.json.JsonMapper
import com.fasterxml.jackson.databind.node.ObjectNode

/** JSON mapper of the command line. Property names are in snake case. */
object Json {
    val mapper: ObjectMapper = JsonMapper.builder().propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE).build()

    /** Converts [value] to a JSON object. */
    fun document(value: Any): ObjectNode = mapper.valueToTree(value)
}
