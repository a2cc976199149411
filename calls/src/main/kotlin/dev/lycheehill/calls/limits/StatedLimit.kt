package dev.lycheehill.calls.limits

import kotlin.math.ceil

/**
 * Limit that a backend server states in its responses, as the node beside it knows it. Not thread-safe.
 *
 * A response that states a limit sets it. A response without a limit lifts it only if its request was sent after the newest response
 * with a limit had arrived, because responses may arrive out of order. A report of another node, which has passed on an earlier
 * response, counts only until the first response: after a restart, this node has forgotten the limit. The lowest report counts, because
 * the nodes may have seen different limits last.
 */
class StatedLimit {
    /** Largest rate of requests that the backend server accepts from all nodes together; null if it states no limit. */
    var requestsPerSecond: Double? = null
        private set

    private var hasResponse = false
    private var statedAtNanos: Long? = null

    /** Records a response that states the limit [requestsPerSecond] or, if null, no limit, to a request sent at [sentAtNanos]. */
    fun onResponse(
        requestsPerSecond: Double?,
        sentAtNanos: Long,
        nowNanos: Long,
    ) {
        hasResponse = true
        if (requestsPerSecond == null && statedAtNanos?.let { sentAtNanos - it < 0 } == true) return
        if (requestsPerSecond != null) statedAtNanos = nowNanos
        this.requestsPerSecond = requestsPerSecond
    }

    /** Records that another node has last seen the limit [requestsPerSecond]. */
    fun onReport(requestsPerSecond: Double) {
        if (!hasResponse) this.requestsPerSecond = minOf(requestsPerSecond, this.requestsPerSecond ?: requestsPerSecond)
    }

    companion object {
        private const val NANOS_PER_SECOND = 1e9

        /**
         * Returns the number of calls that a backend server with [slots] runs concurrently on average while its calls take
         * [durationNanos] and arrive at up to [requestsPerSecond]; at least 1 and at most [slots].
         */
        fun usableSlots(
            slots: Int,
            requestsPerSecond: Double?,
            durationNanos: Long,
        ): Int {
            if (requestsPerSecond == null || durationNanos <= 0) return slots
            return minOf(slots, ceil(requestsPerSecond * durationNanos / NANOS_PER_SECOND).toInt().coerceAtLeast(1))
        }
    }
}
