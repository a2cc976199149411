package dev.lycheehill.calls.admission

/**
 * Share of recent calls that were refused, and what it says about a caller that comes back.
 *
 * It answers the load in which demand stays above the slots for seconds: the queue alone would call a refused caller back as
 * soon as it has moved on, into the same crowd. A call that is refused with the share p is expected to be admitted at the
 * try 1 / (1 - p), so the hint grows by that factor. Not thread-safe.
 */
internal class RejectionRate(
    private val settings: SlotAdmissionSettings,
) {
    private var share = 0.0

    /** A call was refused or not. */
    fun add(refused: Boolean) {
        share += ((if (refused) 1.0 else 0.0) - share) * settings.rejectionSmoothing
    }

    /** Milliseconds after which a caller is expected to be admitted, if [waitMs] of work is ahead. */
    fun retryAfterMs(waitMs: Long): Long {
        val tries = 1 / (1 - share).coerceAtLeast(LEAST_ADMITTED)
        return (maxOf(waitMs, settings.minRetryAfterMs) * tries).toLong().coerceAtMost(settings.maxRetryAfterMs)
    }

    private companion object {
        // Bounds the factor to that at which the longest hint is reached anyway.
        const val LEAST_ADMITTED = 0.02
    }
}
