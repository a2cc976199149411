package dev.lycheehill.config.patch

import dev.lycheehill.config.model.Route
import dev.lycheehill.config.model.Service
import dev.lycheehill.config.toml.TomlError
import dev.lycheehill.config.toml.TomlLines

/**
 * Parsed patch: complete services and routes to set, and names of services and routes to remove.
 *
 * @property services services to add or replace, by name.
 * @property routes routes to add or replace, by name.
 * @property removedServices names of the services to remove.
 * @property removedRoutes names of the routes to remove.
 * @property file name of the patch in error messages.
 * @property lines line numbers of the keys, for errors that are found only when the patch is applied to a base version.
 */
class Patch internal constructor(
    val services: Map<String, Service>,
    val routes: Map<String, Route>,
    val removedServices: Set<String>,
    val removedRoutes: Set<String>,
    internal val file: String,
    internal val lines: TomlLines,
) {
    internal fun errorAt(
        path: List<String>,
        message: String,
    ): TomlError = TomlError(file, lines.lineOf(path), path.joinToString("."), message)
}
