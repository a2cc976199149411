package dev.lycheehill.node.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.dataformat.toml.TomlMapper
import dev.lycheehill.config.toml.NearestKey
import dev.lycheehill.config.toml.TomlLines

/**
 * Reads typed values from a TOML text and collects all faults.
 *
 * A schema reads each key that it knows. A key in the text that the schema does not read is a fault. After a fault, a reading
 * function returns the default or a placeholder, so that the schema continues and the remaining faults are found, too.
 */
class SettingsReader private constructor(
    private val file: String,
    private val values: Map<String, JsonNode>,
    private val lines: TomlLines,
) {
    private val faults = mutableListOf<SettingsFault>()
    private val effective = mutableListOf<EffectiveSetting>()

    /** Returns whether the file contains [table], even if the table is empty. */
    fun hasTable(table: String): Boolean = values.keys.any { it == table || it.startsWith("$table.") }

    /** Reads a string that matches [form] completely. The key is required if [default] is null. */
    fun string(
        key: String,
        default: String? = null,
        form: Regex = Regex(".+"),
        expected: String = "a string that is not empty",
    ): String = optionalString(key, default, form, expected) ?: missing(key, "")

    /** Reads a string that matches [form] completely, or returns [default] if the key is absent. */
    fun optionalString(
        key: String,
        default: String? = null,
        form: Regex = Regex(".+"),
        expected: String = "a string that is not empty",
    ): String? = value(key, default, expected) { node -> node.textValue()?.takeIf { form.matches(it) } }

    /** Reads a secret, or returns null if the key is absent. The value is masked wherever it is printed. */
    fun optionalSecret(key: String): Secret? =
        value(key, null, "a string that is not empty") { node -> node.textValue()?.takeIf { it.isNotEmpty() }?.let(::Secret) }

    /** Reads an integer within [range], or returns [default] if the key is absent. Messages state [unit]. */
    fun int(
        key: String,
        default: Int,
        range: IntRange,
        unit: String,
    ): Int =
        value(key, default, "a whole number of $unit from ${range.first} to ${range.last}") { node ->
            node.takeIf { it.isIntegralNumber && it.canConvertToInt() }?.intValue()?.takeIf { it in range }
        } ?: default

    /** Reads an address of the form `ip:port`. The key is required if [default] is null. */
    fun address(
        key: String,
        default: HostPort? = null,
    ): HostPort = value(key, default, EXPECTED_ADDRESS) { addressOf(it) } ?: missing(key, HostPort.LOOPBACK_FREE_PORT)

    /** Reads a list of addresses, or returns an empty list if the key is absent. */
    fun addresses(key: String): List<HostPort> =
        value(key, emptyList(), "a list of strings, each an address such as \"127.0.0.1:7000\"") { node ->
            node
                .takeIf { it.isArray }
                ?.map { addressOf(it) }
                ?.takeIf { null !in it }
                ?.filterNotNull()
        } ?: emptyList()

    /** Adds a fault for [key] that a reading function cannot detect, such as a conflict with another key. */
    fun fault(
        key: String,
        message: String,
    ) {
        faults += SettingsFault(file, lines.lineOf(key.split('.')).takeIf { it > 0 }, key, message)
    }

    private fun <T : Any> value(
        key: String,
        default: T?,
        expected: String,
        parse: (JsonNode) -> T?,
    ): T? {
        val node = values[key]
        val parsed = node?.let(parse)
        if (node != null && parsed == null) fault(key, "expected $expected, found ${describe(node)}")
        val result = parsed ?: default
        effective += EffectiveSetting(key, result, isFromFile = node != null)
        return result
    }

    private fun <T> missing(
        key: String,
        placeholder: T,
    ): T {
        if (key !in values) fault(key, "required key is missing")
        return placeholder
    }

    private fun addressOf(node: JsonNode): HostPort? = node.textValue()?.let(HostPort::parseOrNull)

    private fun describe(node: JsonNode): String = if (node.isObject) "a table" else node.toString()

    private fun reportUnknownKeys() {
        val known = effective.map { it.key }
        val tables = effective.map { it.table }.toSet()
        for (key in values.keys - known.toSet() - values.filter { it.value.isObject }.keys.intersect(tables)) {
            fault(key, "unknown key${NearestKey.hint(key, known)}")
        }
    }

    private fun <T> finish(settings: T): Either<SettingsError, LoadedSettings<T>> {
        reportUnknownKeys()
        if (faults.isEmpty()) return LoadedSettings(settings, effective.toList()).right()
        return SettingsError(faults.sortedBy { it.line ?: Int.MAX_VALUE }).left()
    }

    companion object {
        private const val EXPECTED_ADDRESS = "an address such as \"127.0.0.1:7000\""
        private val MAPPER = TomlMapper()

        /** Reads the TOML [text] with [schema], or returns all faults in the text. The messages name [file] as the source. */
        fun <T> read(
            file: String,
            text: String,
            schema: (SettingsReader) -> T,
        ): Either<SettingsError, LoadedSettings<T>> =
            try {
                val reader = SettingsReader(file, flatten(MAPPER.readTree(text)), TomlLines.of(text))
                reader.finish(schema(reader))
            } catch (e: JsonProcessingException) {
                SettingsError(listOf(SettingsFault(file, e.location?.lineNr, null, "not TOML: ${e.originalMessage}"))).left()
            }

        private fun flatten(
            node: JsonNode,
            prefix: String = "",
        ): Map<String, JsonNode> =
            node.properties().fold(emptyMap()) { all, (name, child) ->
                val key = prefix + name
                all + if (child.isObject && !child.isEmpty) flatten(child, "$key.") else mapOf(key to child)
            }
    }
}
