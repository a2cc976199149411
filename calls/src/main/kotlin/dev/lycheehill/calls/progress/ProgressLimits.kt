package dev.lycheehill.calls.progress

import dev.lycheehill.core.time.NANOS_PER_MILLI

/** Time limits that detect stalled connections. */
object ProgressLimits {
    /** Longest idle time of a reusable upstream connection in milliseconds. A connection idle for longer is closed and replaced. */
    const val MAX_IDLE_MS = 10_000L

    private const val P99_FACTOR = 3
    private const val EXTRA_NANOS = 250 * NANOS_PER_MILLI

    /**
     * Returns the time in nanoseconds within which the first byte of the response must arrive. The limit follows from [p99Nanos], the
     * 99th percentile of the latency of the service. The limit is [timeoutNanos] if the percentile is unknown (null), and for calls that
     * are not [idempotent].
     */
    fun firstByteNanos(
        timeoutNanos: Long,
        idempotent: Boolean,
        p99Nanos: Long?,
    ): Long = if (idempotent && p99Nanos != null) minOf(timeoutNanos, P99_FACTOR * p99Nanos + EXTRA_NANOS) else timeoutNanos

    /** Returns whether a pooled connection that was last used at [lastUsedNanos] may be reused. */
    fun mayReuse(
        lastUsedNanos: Long,
        nowNanos: Long,
    ): Boolean = nowNanos - lastUsedNanos <= MAX_IDLE_MS * NANOS_PER_MILLI

    /**
     * Returns whether an idle connection must be closed because a call that began at [startedNanos] found another connection to the
     * same peer stalled. Connections that were used after [startedNanos] have shown that they work.
     */
    fun isSuspect(
        lastUsedNanos: Long,
        startedNanos: Long,
    ): Boolean = lastUsedNanos - startedNanos <= 0
}
