package dev.lycheehill.cli.output

import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.databind.PropertyNamingStrategies
import com.fasterxml.jackson.databind.json.JsonMapper
import com.fasterxml.jackson.databind.node.ObjectNode

/** Mapper of all JSON that the commands read and print. Names are in snake case. */
object Json {
    val mapper: ObjectMapper = JsonMapper.builder().propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE).build()

    /** Converts [value] to a JSON document. */
    fun document(value: Any): ObjectNode = mapper.valueToTree(value)
}
