package dev.lycheehill.calls.admission

/**
 * Share of recent calls that were rejected, and the retry hint that follows from it. Not thread-safe.
 *
 * While the demand exceeds the slots for seconds, a hint that depended only on the queue length would make all rejected callers
 * retry during the same overload. A call that is rejected with probability p is admitted at try 1 / (1 - p) on average, so
 * the hint grows by this factor.
 */
internal class RejectionRate(
    private val settings: SlotAdmissionSettings,
) {
    private var rate = 0.0

    /** Adds a call that was rejected or accepted. */
    fun add(rejected: Boolean) {
        rate += ((if (rejected) 1.0 else 0.0) - rate) * settings.rejectionSmoothing
    }

    /** Returns the time in milliseconds after which a rejected caller is expected to be admitted, with an expected wait of [waitMs]. */
    fun retryAfterMs(waitMs: Long): Long {
        val tries = 1 / (1 - rate).coerceAtLeast(MIN_ADMITTED_SHARE)
        return (maxOf(waitMs, settings.minRetryAfterMs) * tries).toLong().coerceAtMost(settings.maxRetryAfterMs)
    }

    private companion object {
        // Bounds the factor at 50 and so avoids a division by zero. The default settings limit the hint
        // to less than the shortest hint times this factor.
        const val MIN_ADMITTED_SHARE = 0.02
    }
}
