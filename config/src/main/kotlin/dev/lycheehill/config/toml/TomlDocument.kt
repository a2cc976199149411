package dev.lycheehill.config.toml

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.StreamReadConstraints
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.dataformat.toml.TomlFactory
import com.fasterxml.jackson.dataformat.toml.TomlMapper

/**
 * A parsed TOML text that collects faults with their lines.
 *
 * @property file name of the file, or of the source of the text.
 */
class TomlDocument private constructor(
    val file: String,
    node: JsonNode,
    /** Lines of the keys. */
    val lines: TomlLines,
) {
    private val collected = mutableListOf<TomlError>()

    /** The top-level table. */
    val root: TomlTable = TomlTable(node, emptyList(), this)

    /** Faults reported so far, in order of their lines. */
    fun faults(): List<TomlError> = collected.sortedBy { it.line }

    internal fun reportFault(
        path: List<String>,
        message: String,
    ) {
        if (collected.size < MAX_FAULTS) collected += TomlError(file, lines.lineOf(path), path.joinToString("."), message)
    }

    companion object {
        /** Faults collected at most; a text with more is refused with the first ones. */
        const val MAX_FAULTS: Int = 50

        // Stated here rather than left to the library's defaults: the fold refuses what the reader refuses, and all nodes
        // must refuse the same texts.
        private val constraints =
            StreamReadConstraints
                .builder()
                .maxNestingDepth(32)
                .maxNumberLength(40)
                .build()
        private val mapper = TomlMapper(TomlFactory.builder().streamReadConstraints(constraints).build())

        /** Parses [text]. The error names the line of a syntax fault. */
        fun parse(
            text: String,
            file: String,
        ): Either<TomlError, TomlDocument> =
            try {
                TomlDocument(file, mapper.readTree(text), TomlLines.of(text)).right()
            } catch (e: JsonProcessingException) {
                TomlError(file, e.location?.lineNr ?: 0, "", "invalid TOML: ${e.originalMessage}").left()
            }
    }
}
