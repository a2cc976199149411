package dev.lycheehill.config.toml

/** Scans a TOML text once and notes the line of each table header and key, with the keys of inline tables. */
internal class TomlLineScanner(
    private val text: String,
) {
    private val lines = mutableMapOf<List<String>, Int>()
    private var position = 0
    private var line = 1

    fun scan(): Map<List<String>, Int> {
        var table = emptyList<String>()
        while (position < text.length) {
            when (peek()) {
                ' ', '\t', '\r', '\n' -> advance()
                '#' -> skipComment()
                '[' -> table = header()
                else -> entry(table)
            }
        }
        return lines
    }

    private fun header(): List<String> {
        while (peek() == '[') advance()
        val path = keyPath(end = ']')
        note(path)
        while (peek() == ']') advance()
        return path
    }

    private fun entry(table: List<String>) {
        val path = table + keyPath(end = '=')
        note(path)
        if (peek() == '=') advance() else skipLine()
        value(path, endOfInline = false)
    }

    private fun note(path: List<String>) {
        // Enclosing tables that have no header of their own are found at their first key. The bound keeps a key of
        // thousands of segments from taking quadratic space.
        for (size in minOf(path.size, MAX_PATH) downTo 1) lines.putIfAbsent(path.take(size), line)
    }

    private fun keyPath(end: Char): List<String> {
        val path = mutableListOf<String>()
        val key = StringBuilder()
        while (position < text.length && peek() != end && peek() != '\n') {
            when (val char = peek()) {
                '"', '\'' -> key.append(quoted(char))
                '.' -> {
                    path += key.toString()
                    key.clear()
                    advance()
                }
                else -> {
                    if (!char.isWhitespace()) key.append(char)
                    advance()
                }
            }
        }
        return path + key.toString()
    }

    /** Skips one value. The keys of an inline table are noted below [path]. */
    private fun value(
        path: List<String>,
        endOfInline: Boolean,
    ) {
        var depth = 0
        while (position < text.length) {
            when (val char = peek()) {
                '"', '\'' -> quoted(char)
                '#' -> skipComment()
                '{' -> inlineTable(path)
                '[' -> {
                    depth++
                    advance()
                }
                ']' -> {
                    depth--
                    advance()
                }
                '\n' -> if (depth <= 0) return else advance()
                ',', '}' -> if (endOfInline && depth <= 0) return else advance()
                else -> advance()
            }
        }
    }

    private fun inlineTable(path: List<String>) {
        advance()
        // Nested inline tables are skipped as plain values to bound the recursion.
        while (position < text.length && peek() != '}' && peek() != '\n') {
            val key = path + keyPath(end = '=')
            if (peek() != '=') return
            note(key)
            advance()
            if (path.size < MAX_PATH) value(key, endOfInline = true) else skipLine()
            if (peek() == ',') advance()
        }
        if (peek() == '}') advance()
    }

    private fun quoted(quote: Char): String {
        val delimiter = quote.toString().repeat(if (text.startsWith(quote.toString().repeat(MULTI_LINE), position)) MULTI_LINE else 1)
        repeat(delimiter.length) { advance() }
        val start = position
        while (position < text.length && !text.startsWith(delimiter, position)) {
            if (delimiter.length == 1 && peek() == '\n') break
            if (quote == '"' && peek() == '\\') advance()
            advance()
        }
        val content = text.substring(minOf(start, text.length), minOf(position, text.length))
        repeat(delimiter.length) { advance() }
        return content
    }

    private fun skipComment() = skipLine()

    private fun skipLine() {
        while (position < text.length && peek() != '\n') advance()
    }

    private fun peek(): Char = if (position < text.length) text[position] else END

    private fun advance() {
        if (peek() == '\n') line++
        position++
    }

    private companion object {
        const val END = '\u0000'
        const val MULTI_LINE = 3
        const val MAX_PATH = 8
    }
}
