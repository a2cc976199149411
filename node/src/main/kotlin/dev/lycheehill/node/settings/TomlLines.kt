package dev.lycheehill.node.settings

/** Finds the line of each key of a TOML text. The Jackson parser reports no lines for keys. */
internal object TomlLines {
    private val HEADER = Regex("""^\s*\[\s*([^\[\]]+?)\s*]\s*(?:#.*)?$""")
    private val ASSIGNMENT = Regex("""^\s*((?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')(?:\s*\.\s*(?:[A-Za-z0-9_-]+|"[^"]*"))*)\s*=(.*)$""")

    /** Returns line numbers, from 1, by full key. */
    fun index(text: String): Map<String, Int> {
        val lines = mutableMapOf<String, Int>()
        var table = ""
        var openBrackets = 0
        text.lineSequence().forEachIndexed { index, raw ->
            val insideArray = openBrackets > 0
            val header = HEADER.matchEntire(raw)?.takeIf { !insideArray }
            val assignment = ASSIGNMENT.matchEntire(raw)?.takeIf { !insideArray }
            if (header != null) {
                table = normalized(header.groupValues[1])
                lines.putIfAbsent(table, index + 1)
            } else if (assignment != null) {
                lines.putIfAbsent(join(table, normalized(assignment.groupValues[1])), index + 1)
                openBrackets = depth(assignment.groupValues[2])
            } else if (insideArray) {
                openBrackets += depth(raw)
            }
        }
        return lines
    }

    private fun join(
        table: String,
        key: String,
    ): String = if (table.isEmpty()) key else "$table.$key"

    private fun normalized(path: String): String = path.split('.').joinToString(".") { it.trim().trim('"', '\'') }

    private fun depth(text: String): Int {
        val code = text.replace(Regex(""""(?:\\.|[^"\\])*"|'[^']*'"""), "").substringBefore('#')
        return code.count { it == '[' } - code.count { it == ']' }
    }
}
