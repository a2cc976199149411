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
 * Parsed TOML text. Collects the errors that are reported while the text is read.
 *
 * @property file name of the file, or of another source of the text.
 */
class TomlDocument private constructor(
    val file: String,
    node: JsonNode,
    /** Line numbers of the keys. */
    val lines: TomlLines,
) {
    private val collectedErrors = mutableListOf<TomlError>()

    /** Top-level table. */
    val root: TomlTable = TomlTable(node, emptyList(), this)

    /** Returns the errors reported so far, in the order of their lines. */
    fun errors(): List<TomlError> = collectedErrors.sortedBy { it.line }

    internal fun reportError(
        path: List<String>,
        message: String,
    ) {
        if (collectedErrors.size < MAX_ERRORS) collectedErrors += TomlError(file, lines.lineOf(path), path.joinToString("."), message)
    }

    companion object {
        /** Maximum number of errors that are collected. Of a text with more errors, only the first errors reported are kept. */
        const val MAX_ERRORS: Int = 50

        // The constraints are stated here rather than left to the defaults of the library, because the fold refuses each patch
        // that the TOML parser rejects, and all nodes must refuse the same patches.
        private val constraints =
            StreamReadConstraints
                .builder()
                .maxNestingDepth(32)
                .maxNumberLength(40)
                .build()
        private val mapper = TomlMapper(TomlFactory.builder().streamReadConstraints(constraints).build())

        /** Parses [text]. The error of a text that is not valid TOML has the line of the syntax error, when it is known. */
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
