package dev.lycheehill.cli.output

import com.fasterxml.jackson.databind.JsonNode

/** Renders JSON documents as text: objects as lines of the form `name: value`, arrays of objects as tables. */
object TextRenderer {
    private const val GAP = "  "

    /** Renders [node] without a trailing line break. */
    fun render(node: JsonNode): String =
        when {
            node.isArray && node.isEmpty -> "none"
            node.isArray && node.all { it.isObject } -> table(node.toList())
            node.isArray -> node.joinToString("\n") { cell(it) }
            node.isObject -> fields(node)
            else -> cell(node)
        }

    private fun fields(node: JsonNode): String {
        val width = node.properties().maxOfOrNull { it.key.length } ?: 0
        return node.properties().joinToString("\n") { (name, value) ->
            val nested = value.isObject || (value.isArray && value.any { it.isObject })
            if (nested) "$name:\n${render(value).prependIndent(GAP)}" else "${"$name:".padEnd(width + 1)} ${cell(value)}"
        }
    }

    private fun table(rows: List<JsonNode>): String {
        val columns = rows.flatMap { row -> row.fieldNames().asSequence() }.distinct()
        val cells = listOf(columns) + rows.map { row -> columns.map { cell(row.path(it)) } }
        val widths = columns.indices.map { column -> cells.maxOf { it[column].length } }
        return cells.joinToString("\n") { line ->
            line.mapIndexed { column, text -> text.padEnd(widths[column]) }.joinToString(GAP).trimEnd()
        }
    }

    private fun cell(node: JsonNode): String =
        when {
            node.isMissingNode || node.isNull -> "-"
            node.isArray -> node.joinToString(", ") { cell(it) }.ifEmpty { "-" }
            node.isObject -> node.properties().joinToString(", ") { (name, value) -> "$name=${cell(value)}" }.ifEmpty { "-" }
            else -> node.asText()
        }
}
