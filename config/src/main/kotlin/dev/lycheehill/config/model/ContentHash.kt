package dev.lycheehill.config.model

import dev.lycheehill.config.log.Sha256
import java.io.ByteArrayOutputStream
import java.io.DataOutputStream

/**
 * Canonical hash of a configuration. It does not depend on the order of entries.
 *
 * Nodes of different releases must compute equal hashes. A field added to the model later must be left out of the hash
 * while it holds its default.
 */
object ContentHash {
    /** Returns the SHA-256 of [content] in hex digits. */
    fun of(content: ConfigContent): String {
        val bytes = ByteArrayOutputStream()
        DataOutputStream(bytes).use { out ->
            out.section(content.services) { writeService(it) }
            out.section(content.routes) { writeRoute(it) }
        }
        return Sha256.hex(bytes.toByteArray())
    }

    private fun <T> DataOutputStream.section(
        entries: Map<String, T>,
        write: DataOutputStream.(T) -> Unit,
    ) {
        writeInt(entries.size)
        entries.toSortedMap().forEach { (name, entry) ->
            writeUTF(name)
            write(entry)
        }
    }

    private fun DataOutputStream.writeService(service: Service) {
        writeInt(service.timeoutMs)
        writeInt(service.maxInFlightPerTarget)
        writeInt(service.maxQueue)
        writeInt(service.hedgePercent)
    }

    private fun DataOutputStream.writeRoute(route: Route) {
        writeUTF(route.host)
        writeUTF(route.pathPrefix)
        writeInt(route.methods.size)
        route.methods.sorted().forEach(::writeUTF)
        section(route.weights) { writeInt(it) }
        writeUTF(route.priority.name)
        writeUTF(route.idempotent?.toString().orEmpty())
        writeInt(route.timeoutMs ?: -1)
        writeInt(route.maxAttempts)
        writeUTF(route.cost.name)
        writeUTF(route.keyDomain.orEmpty())
    }
}
