package dev.lycheehill.node.settings

/**
 * The effective value of one key of a settings file.
 *
 * @property key full name of the key, such as `addresses.egress`.
 * @property value a string, a number, a boolean, a list whose elements are rendered as strings, a [Secret], or null if the key has
 * no value.
 * @property isFromFile whether the file contains the key; false if the value is the default.
 */
data class EffectiveSetting(
    val key: String,
    val value: Any?,
    val isFromFile: Boolean,
) {
    /** Full name of the TOML table that contains the key. */
    val table: String get() = key.substringBeforeLast('.')

    /** Returns the setting as one line of TOML, without the name of its table. */
    fun render(): String {
        val name = key.substringAfterLast('.')
        if (value == null) return "# $name is not set"
        return "$name = ${toToml(value)}" + if (isFromFile) "" else "  # default"
    }

    private fun toToml(value: Any): String =
        when (value) {
            is Number, is Boolean -> value.toString()
            is List<*> -> value.joinToString(", ", "[", "]") { quoted(it.toString()) }
            else -> quoted(value.toString())
        }

    private fun quoted(text: String): String = "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\""
}
