package dev.lycheehill.config.patch

import dev.lycheehill.config.model.Route
import dev.lycheehill.config.model.Service
import dev.lycheehill.config.toml.TomlError
import dev.lycheehill.config.toml.TomlLines

/**
 * A parsed patch: whole entries to set and names to remove.
 *
 * @property file name used in errors.
 * @property lines line numbers of the keys, for errors that only show against a base.
 */
class Patch internal constructor(
    val services: Map<String, Service>,
    val routes: Map<String, Route>,
    val removedServices: Set<String>,
    val removedRoutes: Set<String>,
    internal val file: String,
    internal val lines: TomlLines,
) {
    internal fun error(
        path: List<String>,
        message: String,
    ): TomlError = TomlError(file, lines.lineOf(path), path.joinToString("."), message)
}
