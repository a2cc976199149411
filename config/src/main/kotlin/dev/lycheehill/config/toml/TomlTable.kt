package dev.lycheehill.config.toml

import com.fasterxml.jackson.databind.JsonNode

/**
 * Reads the keys of one table and collects the faults instead of throwing. A faulty or absent key reads as its default.
 *
 * @property path dotted path of the table in its document.
 */
class TomlTable internal constructor(
    private val node: JsonNode,
    val path: List<String>,
    private val document: TomlDocument,
) {
    private val known = mutableSetOf<String>()

    /** Names of all keys of the table. */
    fun keys(): List<String> = node.fieldNames().asSequence().toList()

    /** Tells whether [key] is present. */
    fun has(key: String): Boolean = node.has(key)

    /** Reads a whole number within [range]; [unit] is named in the fault. */
    fun int(
        key: String,
        range: IntRange,
        unit: String = "",
    ): Int? =
        read(key, "a whole number from ${range.first} to ${range.last}${unit.ifNotEmpty { " $it" }}") { value ->
            value.takeIf { it.isIntegralNumber && it.canConvertToInt() && it.intValue() in range }?.intValue()
        }

    /** Reads true or false. */
    fun boolean(key: String): Boolean? = read(key, "true or false") { value -> value.takeIf { it.isBoolean }?.booleanValue() }

    /** Reads a string that [accept] accepts; [expected] describes it in the fault. */
    fun string(
        key: String,
        expected: String,
        accept: (String) -> Boolean,
    ): String? = read(key, expected) { value -> value.takeIf { it.isTextual }?.textValue()?.takeIf(accept) }

    /** Reads one constant of [values] by its name in lower case. */
    fun <T : Enum<T>> enumConstant(
        key: String,
        values: List<T>,
    ): T? =
        read(key, values.joinToString(", ", "one of ") { "\"${it.name.lowercase()}\"" }) { value ->
            values.firstOrNull { value.isTextual && it.name.lowercase() == value.textValue() }
        }

    /** Reads a list of strings that [accept] accepts. */
    fun strings(
        key: String,
        expected: String,
        accept: (String) -> Boolean,
    ): List<String>? =
        read(key, expected) { value ->
            value
                .takeIf { list -> list.isArray && list.all { it.isTextual && accept(it.textValue()) } }
                ?.map { it.textValue() }
        }

    /** Opens the table [key]; null when it is absent or no table. */
    fun table(key: String): TomlTable? =
        read(key, "a table") { value -> value.takeIf { it.isObject }?.let { TomlTable(it, path + key, document) } }

    /** Reports a fault at [key], which may also be absent. */
    fun reportFault(
        key: String,
        message: String,
    ) = document.reportFault(path + key, message)

    /** Reports each key that was never read. */
    fun rejectUnknownKeys() =
        keys().filter { it !in known }.forEach { key ->
            reportFault(key, "unknown key${NearestKey.hint(key, known)}")
        }

    private fun <T : Any> read(
        key: String,
        expected: String,
        convert: (JsonNode) -> T?,
    ): T? {
        known += key
        val value = node.get(key) ?: return null
        return convert(value) ?: null.also { reportFault(key, "must be $expected, got ${shown(value)}") }
    }

    private fun shown(value: JsonNode): String =
        when {
            value.isObject -> "a table"
            value.isArray -> value.toString().shortened()
            else -> value.toString().shortened()
        }

    private fun String.shortened(): String = if (length > MAX_SHOWN_CHARS) take(MAX_SHOWN_CHARS) + "..." else this

    private fun String.ifNotEmpty(transform: (String) -> String): String = if (isEmpty()) "" else transform(this)

    private companion object {
        const val MAX_SHOWN_CHARS = 60
    }
}
