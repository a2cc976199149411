package dev.lycheehill.config.patch

import dev.lycheehill.config.model.CostClass
import dev.lycheehill.config.model.Priority
import dev.lycheehill.config.model.Route
import dev.lycheehill.config.toml.TomlTable

/** Reads a route from its table in section `routes` of a patch. */
internal object RouteReader {
    fun read(
        name: String,
        table: TomlTable,
    ): Route {
        val defaults = Route(name = name, weights = emptyMap())
        return Route(
            name = name,
            host = table.string("host", "\"*\" or a host name in lower case", PatchLimits::isHost) ?: defaults.host,
            pathPrefix = table.pathPrefix() ?: defaults.pathPrefix,
            methods = table.methods() ?: defaults.methods,
            weights = table.weights(),
            priority = table.enumConstant("priority", Priority.entries) ?: defaults.priority,
            idempotent = table.boolean("idempotent"),
            timeoutMs = table.int("timeout_ms", PatchLimits.TIMEOUT_MS, "milliseconds"),
            maxAttempts = table.int("max_attempts", PatchLimits.ATTEMPTS, "attempts") ?: defaults.maxAttempts,
            cost = table.enumConstant("cost", CostClass.entries) ?: defaults.cost,
            keyDomain = table.string("key_domain", "a name (${PatchLimits.NAME_RULE})", PatchLimits::isName),
        )
    }

    private fun TomlTable.pathPrefix(): String? =
        string("path_prefix", "a path that starts with \"/\" and ends without", PatchLimits::isPathPrefix)

    private fun TomlTable.methods(): Set<String>? = strings("methods", "a list of methods in upper case", PatchLimits::isMethod)?.toSet()

    private fun TomlTable.weights(): Map<String, Int> {
        if (!has("weights")) reportError("weights", "is required, as in weights = { catalogue = 100 }")
        val table = table("weights") ?: return emptyMap()
        val weights = table.keys().mapNotNull { service -> table.int(service, PatchLimits.WEIGHT)?.let { service to it } }.toMap()
        if (weights.values.none { it > 0 } && weights.size == table.keys().size) {
            reportError("weights", "must have a service with a weight above 0")
        }
        return weights
    }
}
