package dev.lycheehill.cli.logs

import com.fasterxml.jackson.core.JacksonException
import com.fasterxml.jackson.databind.JsonNode
import dev.lycheehill.cli.output.Json

/**
 * One entry of the structured decision log of a process.
 *
 * @property process name of the process, from the line or from the name of the file.
 * @property message name of the event.
 * @property fields fields of the event by name.
 */
data class DecisionLogEntry(
    val process: String,
    val message: String,
    val fields: Map<String, String>,
) {
    /** Id of the request, or null if the event belongs to no request. */
    val requestId: String? get() = fields["request"]

    /** Nodes to which the call was sent, in order. */
    val targets: List<String> get() = fields["targets"].orEmpty().split(' ').filter { it.isNotEmpty() }

    /** Number of lines that the process suppressed before this line. */
    val suppressedLines: Long get() = fields["suppressed_lines"]?.toLongOrNull() ?: 0

    companion object {
        /**
         * Parses [line]. Returns null if the line contains no JSON object.
         *
         * In a log of several processes, the last word before the JSON object is the name of the process. Without such a word, the
         * name is [file].
         */
        fun parse(
            line: String,
            file: String,
        ): DecisionLogEntry? {
            val start = line.indexOf('{')
            if (start < 0) return null
            val root = parseObject(line.substring(start)) ?: return null
            val prefix = line.take(start).trim().substringAfterLast(' ')
            return DecisionLogEntry(prefix.ifEmpty { file }, root.path("message").asText(), parseFields(root))
        }

        private fun parseObject(text: String): JsonNode? =
            try {
                Json.mapper.readTree(text).takeIf { it.isObject }
            } catch (_: JacksonException) {
                // Other programs may write to the same output; their lines are skipped.
                null
            }

        private fun parseFields(root: JsonNode): Map<String, String> =
            root.path("kvpList").flatMap { pair -> pair.properties().map { (name, value) -> name to value.asText() } }.toMap()
    }
}
