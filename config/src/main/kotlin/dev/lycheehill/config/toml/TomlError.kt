package dev.lycheehill.config.toml

/**
 * Error in a TOML text.
 *
 * @property file name of the file, or of another source of the text.
 * @property line line of the key, from 1; 0 when the error concerns the whole text or the line is not known.
 * @property key dotted path of the key; empty when the error concerns the whole text.
 * @property message description of the error for the author of the text, without the file, line and key.
 */
data class TomlError(
    val file: String,
    val line: Int,
    val key: String,
    val message: String,
) {
    override fun toString(): String =
        listOfNotNull(
            if (line > 0) "$file:$line" else file,
            key.ifEmpty { null },
            message,
        ).joinToString(": ")
}
