package dev.lycheehill.calls.progress

import dev.lycheehill.core.time.NANOS_PER_MILLI

/** Time limits that find connections which have become silent. */
object ProgressLimits {
    /** An upstream connection that was idle for longer is closed and replaced, not reused. */
    const val MAX_IDLE_MS = 10_000L

    private const val P99_FACTOR = 3
    private const val EXTRA_NANOS = 250 * NANOS_PER_MILLI

    /**
     * Time in nanoseconds within which the first byte of the response must arrive. [p99Nanos] is that of the service, or
     * null when it is not known; then, and for calls that are not idempotent, the limit is the timeout.
     */
    fun firstByteNanos(
        timeoutNanos: Long,
        idempotent: Boolean,
        p99Nanos: Long?,
    ): Long = if (idempotent && p99Nanos != null) minOf(timeoutNanos, P99_FACTOR * p99Nanos + EXTRA_NANOS) else timeoutNanos

    /** Whether a pooled connection that was last used at [lastUsedNanos] may carry another call. */
    fun mayReuse(
        lastUsedNanos: Long,
        nowNanos: Long,
    ): Boolean = nowNanos - lastUsedNanos <= MAX_IDLE_MS * NANOS_PER_MILLI

    /**
     * Whether an idle connection is closed because another one to the same peer, whose call began at [startedNanos], was
     * found silent. Connections used since then have shown that they work.
     */
    fun isSuspect(
        lastUsedNanos: Long,
        startedNanos: Long,
    ): Boolean = lastUsedNanos - startedNanos <= 0
}
