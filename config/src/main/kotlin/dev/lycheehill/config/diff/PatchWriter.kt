package dev.lycheehill.config.diff

import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.config.model.Route
import dev.lycheehill.config.model.Service

/** Writes patches, for example one that restores an old content. */
object PatchWriter {
    /**
     * Returns the text of a patch that turns [from] into [to]; empty when they are equal.
     *
     * The text may exceed the permitted size of a patch when many entries differ. The parser then refuses it.
     */
    fun write(
        from: ConfigContent,
        to: ConfigContent,
    ): String {
        val diff = ContentDiff.between(from, to)
        val sections =
            (diff.services.added + diff.services.changed).sorted().map { service(to.services.getValue(it)) } +
                (diff.routes.added + diff.routes.changed).sorted().map { route(to.routes.getValue(it)) } +
                removals(diff)
        return sections.joinToString("\n")
    }

    private fun service(service: Service): String =
        buildString {
            appendLine("[services.${service.name}]")
            appendLine("timeout_ms = ${service.timeoutMs}")
            appendLine("max_in_flight_per_target = ${service.maxInFlightPerTarget}")
            appendLine("max_queue = ${service.maxQueue}")
            appendLine("hedge_percent = ${service.hedgePercent}")
        }

    private fun route(route: Route): String =
        buildString {
            appendLine("[routes.${route.name}]")
            appendLine("host = ${quoted(route.host)}")
            appendLine("path_prefix = ${quoted(route.pathPrefix)}")
            if (route.methods.isNotEmpty()) appendLine("methods = ${list(route.methods)}")
            appendLine("weights = { ${weights(route.weights)} }")
            appendLine("priority = ${quoted(route.priority.name.lowercase())}")
            route.idempotent?.let { appendLine("idempotent = $it") }
            route.timeoutMs?.let { appendLine("timeout_ms = $it") }
            appendLine("max_attempts = ${route.maxAttempts}")
            appendLine("cost = ${quoted(route.cost.name.lowercase())}")
            route.keyDomain?.let { appendLine("key_domain = ${quoted(it)}") }
        }

    private fun removals(diff: ContentDiff): List<String> {
        val lines =
            listOf("services" to diff.services.removed, "routes" to diff.routes.removed)
                .filter { (_, names) -> names.isNotEmpty() }
                .map { (key, names) -> "$key = ${list(names)}\n" }
        return if (lines.isEmpty()) emptyList() else listOf("[remove]\n" + lines.joinToString(""))
    }

    private fun weights(weights: Map<String, Int>): String = weights.toSortedMap().map { (name, share) -> "$name = $share" }.joinToString()

    private fun list(values: Collection<String>): String = values.sorted().joinToString(prefix = "[", postfix = "]", transform = ::quoted)

    // Validated values contain neither quotes nor backslashes, so no escape is needed.
    private fun quoted(value: String): String = "\"$value\""
}
