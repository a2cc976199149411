package dev.lycheehill.cli.logs

import com.fasterxml.jackson.core.JacksonException
import com.fasterxml.jackson.databind.JsonNode
import dev.lycheehill.cli.output.Json

/**
 * One decision of one process, from its structured log.
 *
 * @property process name of the process, as far as the file tells it.
 * @property fields what the process wrote besides, by name.
 */
data class DecisionLogEntry(
    val process: String,
    val message: String,
    val fields: Map<String, String>,
) {
    val requestId: String? get() = fields["request"]

    /** Nodes that the call was sent to, in order. */
    val targets: List<String> get() = fields["targets"].orEmpty().split(' ').filter { it.isNotEmpty() }

    /** Lines that the process had left out before this one. */
    val suppressedLines: Long get() = fields["suppressed_lines"]?.toLongOrNull() ?: 0

    companion object {
        /**
         * Reads a line, or returns null if it holds no JSON object. A word before the object names the process, as in logs of
         * several processes in one file; otherwise [file] does.
         */
        fun parse(
            line: String,
            file: String,
        ): DecisionLogEntry? {
            val start = line.indexOf('{')
            if (start < 0) return null
            val root = objectOf(line.substring(start)) ?: return null
            val prefix = line.take(start).trim().substringAfterLast(' ')
            return DecisionLogEntry(prefix.ifEmpty { file }, root.path("message").asText(), fieldsOf(root))
        }

        private fun objectOf(text: String): JsonNode? =
            try {
                Json.mapper.readTree(text).takeIf { it.isObject }
            } catch (_: JacksonException) {
                // Other programs may write to the same output; such lines explain no request.
                null
            }

        private fun fieldsOf(root: JsonNode): Map<String, String> =
            root.path("kvpList").flatMap { pair -> pair.properties().map { (name, value) -> name to value.asText() } }.toMap()
    }
}
