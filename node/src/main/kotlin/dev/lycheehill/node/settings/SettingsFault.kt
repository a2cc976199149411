package dev.lycheehill.node.settings

/**
 * One fault in a settings file.
 *
 * @property line line number from 1; null when the file as a whole is at fault.
 * @property key full name of the key, such as `addresses.egress`; null when the text is not TOML.
 */
data class SettingsFault(
    val file: String,
    val line: Int?,
    val key: String?,
    val message: String,
) {
    override fun toString(): String = listOfNotNull(line?.let { "$file:$it" } ?: file, key, message).joinToString(": ")
}
