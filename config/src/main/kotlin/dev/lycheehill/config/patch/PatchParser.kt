package dev.lycheehill.config.patch

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dev.lycheehill.config.toml.TomlDocument
import dev.lycheehill.config.toml.TomlError
import dev.lycheehill.config.toml.TomlTable

/** Parses patches in TOML. A patch with any error is refused as a whole, and all its errors are reported. */
object PatchParser {
    private const val SERVICES = "services"
    private const val ROUTES = "routes"

    /** Parses [text]. Errors name [file] as the source of the text. On failure, the list has at least one error. */
    fun parse(
        text: String,
        file: String = "patch",
    ): Either<List<TomlError>, Patch> {
        val sizeBytes = text.encodeToByteArray().size
        if (sizeBytes > PatchLimits.MAX_TEXT_BYTES) {
            return wholeTextError(file, "the patch has $sizeBytes bytes; at most ${PatchLimits.MAX_TEXT_BYTES} are permitted").left()
        }
        return TomlDocument.parse(text, file).mapLeft { listOf(it) }.flatMap(::read)
    }

    private fun read(document: TomlDocument): Either<List<TomlError>, Patch> {
        val root = document.root
        val services = readEntries(root, SERVICES, ServiceReader::read)
        val routes = readEntries(root, ROUTES, RouteReader::read)
        val remove = root.table("remove")
        val patch =
            Patch(
                services = services,
                routes = routes,
                removedServices = remove?.names(SERVICES).orEmpty(),
                removedRoutes = remove?.names(ROUTES).orEmpty(),
                file = document.file,
                lines = document.lines,
            )
        remove?.rejectUnknownKeys()
        remove?.reportSetAndRemoved(SERVICES, patch.removedServices.intersect(services.keys))
        remove?.reportSetAndRemoved(ROUTES, patch.removedRoutes.intersect(routes.keys))
        root.rejectUnknownKeys()
        val errors = document.errors()
        return when {
            errors.isNotEmpty() -> errors.left()
            patch.isEmpty() -> wholeTextError(document.file, "the patch is empty").left()
            else -> patch.right()
        }
    }

    private fun <T : Any> readEntries(
        root: TomlTable,
        key: String,
        read: (String, TomlTable) -> T?,
    ): Map<String, T> {
        val section = root.table(key) ?: return emptyMap()
        return section
            .keys()
            .mapNotNull { name -> readEntry(section, name, read)?.let { name to it } }
            .toMap()
    }

    private fun <T : Any> readEntry(
        section: TomlTable,
        name: String,
        read: (String, TomlTable) -> T?,
    ): T? {
        if (!PatchLimits.isName(name)) {
            section.reportError(name, "a name has ${PatchLimits.NAME_RULE}")
            return null
        }
        return section.table(name)?.let { table -> read(name, table).also { table.rejectUnknownKeys() } }
    }

    private fun TomlTable.names(key: String): Set<String> = strings(key, "a list of names") { true }.orEmpty().toSet()

    private fun TomlTable.reportSetAndRemoved(
        key: String,
        names: Set<String>,
    ) = names.forEach { reportError(key, "\"$it\" is both set and removed") }

    private fun Patch.isEmpty(): Boolean = services.isEmpty() && routes.isEmpty() && removedServices.isEmpty() && removedRoutes.isEmpty()

    private fun wholeTextError(
        file: String,
        message: String,
    ) = listOf(TomlError(file, line = 0, key = "", message = message))
}
