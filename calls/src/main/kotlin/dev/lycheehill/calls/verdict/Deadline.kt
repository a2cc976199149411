package dev.lycheehill.calls.verdict

import dev.lycheehill.core.time.NANOS_PER_MILLI

/** Instant, on the monotonic clock of this node, after which a call is not started and not awaited. */
@JvmInline
value class Deadline(
    val atNanos: Long,
) {
    /** Whether no time is left at [nowNanos]. */
    fun isExpired(nowNanos: Long): Boolean = nowNanos - atNanos >= 0

    /** Time left in nanoseconds, at least 0. */
    fun remainingNanos(nowNanos: Long): Long = (atNanos - nowNanos).coerceAtLeast(0)

    /** Time left in whole milliseconds, at least 0, as sent in `lycheehill-deadline-ms`. */
    fun remainingMs(nowNanos: Long): Long = remainingNanos(nowNanos) / NANOS_PER_MILLI

    companion object {
        /** Name of the header with the remaining time in milliseconds. */
        const val HEADER = "lycheehill-deadline-ms"

        /** Deadline [timeoutMs] after [nowNanos]. */
        fun after(
            timeoutMs: Long,
            nowNanos: Long,
        ): Deadline = Deadline(nowNanos + timeoutMs * NANOS_PER_MILLI)

        /**
         * Deadline of a received call: the earlier of [header] and the route's [timeoutMs]. The header can only
         * shorten the time; one that is not a number is ignored, and a negative one has expired.
         */
        fun received(
            header: String?,
            timeoutMs: Long,
            nowNanos: Long,
        ): Deadline = after((header?.trim()?.toLongOrNull() ?: timeoutMs).coerceIn(0, timeoutMs), nowNanos)
    }
}
