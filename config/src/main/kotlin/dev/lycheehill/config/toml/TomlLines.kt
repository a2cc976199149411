package dev.lycheehill.config.toml

/**
 * Line numbers of the keys of a TOML text.
 *
 * Jackson reports no positions of parsed values, so the lines are found by a scan of the text. The text should be valid
 * TOML. For any other text the lines may be wrong, but no exception is thrown.
 */
class TomlLines private constructor(
    private val lines: Map<List<String>, Int>,
) {
    /** Returns the line of [path] or, when the text lacks that key, of its nearest enclosing table; 0 when both are absent. */
    fun lineOf(path: List<String>): Int =
        generateSequence(path) { it.dropLast(1).takeIf(List<String>::isNotEmpty) }
            .firstNotNullOfOrNull { lines[it] }
            ?: 0

    companion object {
        /** Finds the lines of the keys of [text]. */
        fun of(text: String): TomlLines = TomlLines(TomlLineScanner(text).scan())
    }
}
