package dev.lycheehill.calls.verdict

import dev.lycheehill.core.time.NANOS_PER_MILLI

/**
 * Time after which a call is neither started nor awaited.
 *
 * @property atNanos the time in nanoseconds of the monotonic clock of this node.
 */
@JvmInline
value class Deadline(
    val atNanos: Long,
) {
    /** Returns whether no time is left at [nowNanos]. */
    fun isExpired(nowNanos: Long): Boolean = nowNanos - atNanos >= 0

    /** Returns the time left in nanoseconds, at least 0. */
    fun remainingNanos(nowNanos: Long): Long = (atNanos - nowNanos).coerceAtLeast(0)

    /** Returns the time left in whole milliseconds, at least 0, as sent in the header `lycheehill-deadline-ms`. */
    fun remainingMs(nowNanos: Long): Long = remainingNanos(nowNanos) / NANOS_PER_MILLI

    companion object {
        /** Name of the header with the time left in milliseconds. */
        const val HEADER = "lycheehill-deadline-ms"

        /** Returns the deadline [timeoutMs] milliseconds after [nowNanos]. */
        fun after(
            timeoutMs: Long,
            nowNanos: Long,
        ): Deadline = Deadline(nowNanos + timeoutMs * NANOS_PER_MILLI)

        /**
         * Returns the deadline of a received call. The [header] can only shorten the [timeoutMs] of the route. A header that is not
         * a number is ignored, and a negative number gives an expired deadline.
         */
        fun received(
            header: String?,
            timeoutMs: Long,
            nowNanos: Long,
        ): Deadline = after((header?.trim()?.toLongOrNull() ?: timeoutMs).coerceIn(0, timeoutMs), nowNanos)
    }
}
