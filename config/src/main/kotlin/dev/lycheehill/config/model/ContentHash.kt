package dev.lycheehill.config.model

/**
 * Canonical hash of a configuration. It does not depend on the order of entries.
 *
 * Nodes of different releases must compute equal hashes. A field added to the model later must be left out of the hash
 * while it holds its default.
 */
object ContentHash {
    /** Returns the SHA-256 of [content] in hex digits. */
    fun of(content: ConfigContent): String {
        val writer = HashWriter()
        writer.section(content.services) { service(it) }
        writer.section(content.routes) { route(it) }
        return writer.finish()
    }

    private fun <T> HashWriter.section(
        entries: Map<String, T>,
        write: HashWriter.(T) -> Unit,
    ) {
        number(entries.size)
        entries.entries.sortedBy { it.key }.forEach { (name, entry) ->
            text(name)
            write(entry)
        }
    }

    private fun HashWriter.service(service: Service) {
        number(service.timeoutMs)
        number(service.maxInFlightPerTarget)
        number(service.maxQueue)
        number(service.hedgePercent)
        service.healthPath?.let { text(it) }
    }

    private fun HashWriter.route(route: Route) {
        text(route.host)
        text(route.pathPrefix)
        number(route.methods.size)
        route.methods.sorted().forEach(::text)
        section(route.weights) { number(it) }
        text(route.priority.name)
        text(route.idempotent?.toString().orEmpty())
        number(route.timeoutMs ?: -1)
        number(route.maxAttempts)
        text(route.cost.name)
        text(route.keyDomain.orEmpty())
        route.aimMs?.let { number(it) }
    }
}
