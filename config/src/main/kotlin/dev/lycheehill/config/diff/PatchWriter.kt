package dev.lycheehill.config.diff

import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.config.model.Route
import dev.lycheehill.config.model.Service

/** Writes patches in TOML, for example a patch that restores an earlier configuration. */
object PatchWriter {
    /**
     * Returns the text of a patch that turns [from] into [to]. The text is empty when both configurations are equal.
     *
     * When many entries differ, the text may be longer than a patch is permitted to be. The parser refuses such a text.
     */
    fun write(
        from: ConfigContent,
        to: ConfigContent,
    ): String {
        val diff = ContentDiff.between(from, to)
        val sections =
            (diff.services.added + diff.services.changed).sorted().map { serviceTable(to.services.getValue(it)) } +
                (diff.routes.added + diff.routes.changed).sorted().map { routeTable(to.routes.getValue(it)) } +
                removeTable(diff)
        return sections.joinToString("\n")
    }

    private fun serviceTable(service: Service): String =
        buildString {
            appendLine("[services.${service.name}]")
            appendLine("timeout_ms = ${service.timeoutMs}")
            appendLine("max_in_flight_per_target = ${service.maxInFlightPerTarget}")
            appendLine("max_queue = ${service.maxQueue}")
            appendLine("hedge_percent = ${service.hedgePercent}")
        }

    private fun routeTable(route: Route): String =
        buildString {
            appendLine("[routes.${route.name}]")
            appendLine("host = ${quoted(route.host)}")
            appendLine("path_prefix = ${quoted(route.pathPrefix)}")
            if (route.methods.isNotEmpty()) appendLine("methods = ${stringArray(route.methods)}")
            appendLine("weights = { ${weightEntries(route.weights)} }")
            appendLine("priority = ${quoted(route.priority.name.lowercase())}")
            route.idempotent?.let { appendLine("idempotent = $it") }
            route.timeoutMs?.let { appendLine("timeout_ms = $it") }
            appendLine("max_attempts = ${route.maxAttempts}")
            appendLine("cost = ${quoted(route.cost.name.lowercase())}")
            route.keyDomain?.let { appendLine("key_domain = ${quoted(it)}") }
        }

    private fun removeTable(diff: ContentDiff): List<String> {
        val lines =
            listOf("services" to diff.services.removed, "routes" to diff.routes.removed)
                .filter { (_, names) -> names.isNotEmpty() }
                .map { (key, names) -> "$key = ${stringArray(names)}\n" }
        return if (lines.isEmpty()) emptyList() else listOf("[remove]\n" + lines.joinToString(""))
    }

    private fun weightEntries(weights: Map<String, Int>): String =
        weights.toSortedMap().map { (name, weight) -> "$name = $weight" }.joinToString()

    private fun stringArray(values: Collection<String>): String =
        values.sorted().joinToString(prefix = "[", postfix = "]", transform = ::quoted)

    // No escaping is needed, because validated values contain neither quotes nor backslashes.
    private fun quoted(value: String): String = "\"$value\""
}
