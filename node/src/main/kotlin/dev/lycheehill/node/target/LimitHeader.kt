package dev.lycheehill.node.target

/**
 * Value of the `lh-limit` header: the limit that a process of a backend server states, as in `i-7f3a91c2,1770170813000,10.7`.
 *
 * @property requestsPerSecond largest rate of requests that the process accepts from all nodes together.
 */
internal data class LimitHeader(
    val process: BackendProcess,
    val requestsPerSecond: Double,
) {
    fun format(): String = "${process.instanceId},${process.startedAtMs},$requestsPerSecond"

    companion object {
        private const val FIELD_COUNT = 3

        /** Returns the parsed header, or null if [value] is malformed. */
        fun parse(value: String): LimitHeader? {
            val fields = value.split(',')
            if (fields.size != FIELD_COUNT) return null
            val startedAtMs = fields[1].toLongOrNull() ?: return null
            val requestsPerSecond = fields[2].toDoubleOrNull()?.takeIf { it.isFinite() && it >= 0 } ?: return null
            return LimitHeader(BackendProcess(fields[0], startedAtMs), requestsPerSecond)
        }
    }
}
