package dev.lycheehill.node.egress

import dev.lycheehill.core.time.NANOS_PER_MILLI

/**
 * Second attempts of idempotent calls to one service, as a share of its calls. None are allowed for a second after the
 * service has shed load. Thread-safe.
 */
internal class HedgeBudget(
    private val percent: Int,
) {
    private var credit = 0.0
    private var shedAtNanos: Long? = null

    /** Counts a call. */
    @Synchronized
    fun onCall() {
        credit = minOf(credit + percent / 100.0, MAX_CREDIT)
    }

    /** Notes that a target refused a call because of load. */
    @Synchronized
    fun onShed(nowNanos: Long) {
        shedAtNanos = nowNanos
    }

    /** Takes one hedge from the budget. Returns false if there is none. */
    @Synchronized
    fun take(nowNanos: Long): Boolean {
        val shed = shedAtNanos
        if (shed != null && nowNanos - shed < PAUSE_NANOS) return false
        if (credit < 1) return false
        credit -= 1
        return true
    }

    private companion object {
        // A longer credit would let a slow phase begin with a burst of extra work.
        const val MAX_CREDIT = 10.0
        const val PAUSE_NANOS = 1_000 * NANOS_PER_MILLI
    }
}
