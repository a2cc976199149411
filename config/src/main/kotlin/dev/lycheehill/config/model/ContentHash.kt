package dev.lycheehill.config.model

/**
 * Computes the canonical hash of a configuration. The hash does not depend on the order of entries.
 *
 * Nodes of different releases must compute equal hashes. A field that a later release adds to the model must therefore be
 * left out of the hash while the field has its default value.
 */
object ContentHash {
    /** Returns the SHA-256 of [content] in hex digits. */
    fun of(content: ConfigContent): String {
        val writer = HashWriter()
        writer.writeEntries(content.services) { writeService(it) }
        writer.writeEntries(content.routes) { writeRoute(it) }
        return writer.finish()
    }

    private fun <T> HashWriter.writeEntries(
        entries: Map<String, T>,
        writeEntry: HashWriter.(T) -> Unit,
    ) {
        writeInt(entries.size)
        entries.entries.sortedBy { it.key }.forEach { (name, entry) ->
            writeText(name)
            writeEntry(entry)
        }
    }

    private fun HashWriter.writeService(service: Service) {
        writeInt(service.timeoutMs)
        writeInt(service.maxInFlightPerTarget)
        writeInt(service.maxQueue)
        writeInt(service.hedgePercent)
        service.healthPath?.let { writeText(it) }
    }

    private fun HashWriter.writeRoute(route: Route) {
        writeText(route.host)
        writeText(route.pathPrefix)
        writeInt(route.methods.size)
        route.methods.sorted().forEach(::writeText)
        writeEntries(route.weights) { writeInt(it) }
        writeText(route.priority.name)
        writeText(route.idempotent?.toString().orEmpty())
        writeInt(route.timeoutMs ?: -1)
        writeInt(route.maxAttempts)
        writeText(route.cost.name)
        writeText(route.keyDomain.orEmpty())
        route.aimMs?.let { writeInt(it) }
    }
}
