package dev.lycheehill.config.toml

/**
 * Line numbers of the keys of a TOML text.
 *
 * Jackson reports no position for values, so the lines are found from the text. The text is expected to be valid TOML;
 * for any other text the answer is a guess, never an exception.
 */
class TomlLines private constructor(
    private val lines: Map<List<String>, Int>,
) {
    /** Returns the line of [path], or of its nearest enclosing table; 0 when neither is in the text. */
    fun lineOf(path: List<String>): Int =
        generateSequence(path) { it.dropLast(1).takeIf(List<String>::isNotEmpty) }
            .firstNotNullOfOrNull { lines[it] }
            ?: 0

    companion object {
        /** Finds the keys of [text]. */
        fun of(text: String): TomlLines = TomlLines(TomlLineScanner(text).scan())
    }
}
