package dev.lycheehill.config.toml

/** Scans a TOML text once and records the line of each table header and key, including the keys of inline tables. */
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
                '[' -> table = readHeader()
                else -> readEntry(table)
            }
        }
        return lines
    }

    private fun readHeader(): List<String> {
        while (peek() == '[') advance()
        val path = readKeyPath(end = ']')
        recordLine(path)
        while (peek() == ']') advance()
        return path
    }

    private fun readEntry(table: List<String>) {
        val path = table + readKeyPath(end = '=')
        recordLine(path)
        if (peek() == '=') advance() else skipLine()
        skipValue(path, inInlineTable = false)
    }

    private fun recordLine(path: List<String>) {
        // An enclosing table without a header of its own gets the line of its first key. The bound on the path keeps a key
        // with thousands of segments from taking quadratic space.
        for (size in minOf(path.size, MAX_PATH_SEGMENTS) downTo 1) lines.putIfAbsent(path.take(size), line)
    }

    private fun readKeyPath(end: Char): List<String> {
        val path = mutableListOf<String>()
        val key = StringBuilder()
        while (position < text.length && peek() != end && peek() != '\n') {
            when (val char = peek()) {
                '"', '\'' -> key.append(readQuoted(char))
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

    /** Skips one value. Records the lines of the keys of an inline table under [path]. */
    private fun skipValue(
        path: List<String>,
        inInlineTable: Boolean,
    ) {
        var depth = 0
        while (position < text.length) {
            when (val char = peek()) {
                '"', '\'' -> readQuoted(char)
                '#' -> skipComment()
                '{' -> readInlineTable(path)
                '[' -> {
                    depth++
                    advance()
                }
                ']' -> {
                    depth--
                    advance()
                }
                '\n' -> if (depth <= 0) return else advance()
                ',', '}' -> if (inInlineTable && depth <= 0) return else advance()
                else -> advance()
            }
        }
    }

    private fun readInlineTable(path: List<String>) {
        advance()
        // The depth of the recursion is bounded: the rest of the line is skipped in a table that is nested too deeply.
        while (position < text.length && peek() != '}' && peek() != '\n') {
            val key = path + readKeyPath(end = '=')
            if (peek() != '=') return
            recordLine(key)
            advance()
            if (path.size < MAX_PATH_SEGMENTS) skipValue(key, inInlineTable = true) else skipLine()
            if (peek() == ',') advance()
        }
        if (peek() == '}') advance()
    }

    private fun readQuoted(quote: Char): String {
        val delimiter = quote.toString().repeat(if (text.startsWith(quote.toString().repeat(TRIPLE), position)) TRIPLE else 1)
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

    private fun peek(): Char = if (position < text.length) text[position] else END_OF_TEXT

    private fun advance() {
        if (peek() == '\n') line++
        position++
    }

    private companion object {
        const val END_OF_TEXT = '\u0000'
        const val TRIPLE = 3
        const val MAX_PATH_SEGMENTS = 8
    }
}
