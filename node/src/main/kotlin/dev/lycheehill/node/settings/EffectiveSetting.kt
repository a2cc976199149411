package dev.lycheehill.node.settings

/**
 * Value in effect of one key.
 *
 * @property key full name, such as `addresses.egress`.
 * @property value a string, a number, a boolean, a list of strings, a [Secret], or null when there is none.
 */
data class EffectiveSetting(
    val key: String,
    val value: Any?,
    val isFromFile: Boolean,
) {
    /** Table of the key. */
    val table: String get() = key.substringBeforeLast('.')

    /** Renders one line of TOML. */
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
