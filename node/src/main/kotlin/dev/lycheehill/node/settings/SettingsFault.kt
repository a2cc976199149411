package dev.lycheehill.node.settings

/**
 * One fault in a settings file. [toString] returns the message with the file, the line and the key.
 *
 * @property file name of the settings file.
 * @property line line number, counted from 1; null if the fault concerns no single line.
 * @property key full name of the key, such as `addresses.egress`; null if the text is not TOML.
 */
data class SettingsFault(
    val file: String,
    val line: Int?,
    val key: String?,
    val message: String,
) {
    override fun toString(): String = listOfNotNull(line?.let { "$file:$it" } ?: file, key, message).joinToString(": ")
}
