package dev.lycheehill.config.toml

import com.fasterxml.jackson.databind.JsonNode

/**
 * Table of a [TomlDocument].
 *
 * The functions that read a key return null when the key is absent or its value is invalid. An invalid value is reported as
 * an error of the document; no exception is thrown.
 *
 * @property path keys that lead from the top-level table to this table.
 */
class TomlTable internal constructor(
    private val node: JsonNode,
    val path: List<String>,
    private val document: TomlDocument,
) {
    private val readKeys = mutableSetOf<String>()

    /** Returns the names of all keys of the table. */
    fun keys(): List<String> = node.fieldNames().asSequence().toList()

    /** Returns whether [key] is present. */
    fun has(key: String): Boolean = node.has(key)

    /** Reads a whole number within [range]. The error of an invalid value names [unit]. */
    fun int(
        key: String,
        range: IntRange,
        unit: String = "",
    ): Int? =
        read(key, "a whole number from ${range.first} to ${range.last}${unit.ifNotEmpty { " $it" }}") { value ->
            value.takeIf { it.isIntegralNumber && it.canConvertToInt() && it.intValue() in range }?.intValue()
        }

    /** Reads a boolean. */
    fun boolean(key: String): Boolean? = read(key, "true or false") { value -> value.takeIf { it.isBoolean }?.booleanValue() }

    /** Reads a string for which [accept] returns true. The error of any other value says that [expected] is required. */
    fun string(
        key: String,
        expected: String,
        accept: (String) -> Boolean,
    ): String? = read(key, expected) { value -> value.takeIf { it.isTextual }?.textValue()?.takeIf(accept) }

    /** Reads one of the enum constants [values] by its name in lower case. */
    fun <T : Enum<T>> enumConstant(
        key: String,
        values: List<T>,
    ): T? =
        read(key, values.joinToString(", ", "one of ") { "\"${it.name.lowercase()}\"" }) { value ->
            values.firstOrNull { value.isTextual && it.name.lowercase() == value.textValue() }
        }

    /** Reads a list of strings, for each of which [accept] returns true. [expected] describes the list in the fault. */
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

    /** Returns the table [key], or null when the key is absent or its value is not a table. */
    fun table(key: String): TomlTable? =
        read(key, "a table") { value -> value.takeIf { it.isObject }?.let { TomlTable(it, path + key, document) } }

    /** Reports an error at [key]. The key may be absent from the table. */
    fun reportError(
        key: String,
        message: String,
    ) = document.reportError(path + key, message)

    /** Reports an error for each key of the table that has not been read before. */
    fun rejectUnknownKeys() =
        keys().filter { it !in readKeys }.forEach { key ->
            reportError(key, "unknown key${NearestKey.hint(key, readKeys)}")
        }

    private fun <T : Any> read(
        key: String,
        expected: String,
        convert: (JsonNode) -> T?,
    ): T? {
        readKeys += key
        val value = node.get(key) ?: return null
        return convert(value) ?: null.also { reportError(key, "must be $expected, got ${describe(value)}") }
    }

    private fun describe(value: JsonNode): String =
        when {
            value.isObject -> "a table"
            value.isArray -> value.toString().truncated()
            else -> value.toString().truncated()
        }

    private fun String.truncated(): String = if (length > MAX_VALUE_CHARS) take(MAX_VALUE_CHARS) + "..." else this

    private fun String.ifNotEmpty(transform: (String) -> String): String = if (isEmpty()) "" else transform(this)

    private companion object {
        const val MAX_VALUE_CHARS = 60
    }
}
