package dev.lycheehill.node.egress

import dev.lycheehill.core.time.NANOS_PER_MILLI
import java.util.concurrent.ConcurrentHashMap

/**
 * Limits and shutdowns that the backend servers of targets have stated in responses that this node has passed on.
 *
 * This node does not act on them. It repeats them on later requests to the same target, so that the node of the target knows them again
 * after a restart. Thread-safe.
 */
internal class TargetStatements {
    /**
     * Values of the headers about one target.
     *
     * @property limit value of the limit header; null if no limit is known.
     * @property leaving value of the shutdown header; null if no shutdown is known.
     */
    class Headers(
        val limit: String?,
        val leaving: String?,
        internal val receivedAtNanos: Long,
    )

    private val byTargetId = ConcurrentHashMap<String, Headers>()

    /**
     * Records the headers of a response from the target [targetId].
     *
     * @param isFromBackend whether the backend server made the response. Only then a missing header means that nothing is stated: a node
     *   that has just restarted refuses calls without knowing the statements.
     */
    fun onResponse(
        targetId: String,
        limit: String?,
        leaving: String?,
        isFromBackend: Boolean,
        nowNanos: Long,
    ) {
        val known = byTargetId[targetId]
        if (known == null && limit == null && leaving == null) return
        val kept = known.takeUnless { isFromBackend }
        val headers = Headers(limit ?: kept?.limit, leaving ?: kept?.leaving, nowNanos)
        if (headers.limit == null && headers.leaving == null) {
            byTargetId.remove(targetId)
            return
        }
        byTargetId[targetId] = headers
        if (known == null) byTargetId.values.removeIf { isExpired(it, nowNanos) }
    }

    /** Returns the headers for a request to the target [targetId], or null if nothing is known. */
    fun headersFor(
        targetId: String,
        nowNanos: Long,
    ): Headers? = byTargetId[targetId]?.takeUnless { isExpired(it, nowNanos) }

    private fun isExpired(
        headers: Headers,
        nowNanos: Long,
    ): Boolean = nowNanos - headers.receivedAtNanos > MAX_AGE_MS * NANOS_PER_MILLI

    private companion object {
        // As long as records of members that have left are kept.
        const val MAX_AGE_MS = 600_000L
    }
}
