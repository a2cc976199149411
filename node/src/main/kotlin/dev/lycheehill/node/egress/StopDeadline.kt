package dev.lycheehill.node.egress

import dev.lycheehill.calls.verdict.Deadline
import dev.lycheehill.core.time.NANOS_PER_MILLI

/** End of a graceful stop, when the calls that still run are cut off. Thread-safe. */
internal class StopDeadline {
    @Volatile
    private var endNanos: Long? = null

    /** Sets the end to [timeoutMs] milliseconds after [nowNanos], a value of [System.nanoTime]. */
    fun set(
        timeoutMs: Long,
        nowNanos: Long,
    ) {
        endNanos = nowNanos + timeoutMs * NANOS_PER_MILLI
    }

    /** Returns whether a call that is awaited until [graceNanos] after [deadline] may run longer than the stop. */
    fun isBefore(
        deadline: Deadline,
        graceNanos: Long,
    ): Boolean = endNanos?.let { it - (deadline.atNanos + graceNanos) < 0 } ?: false
}
