package dev.lycheehill.calls.verdict

import java.util.concurrent.atomic.AtomicInteger

/**
 * Retries that one call and all calls below it may still use.
 *
 * Units are moved and never copied, so the retries of a whole call tree never exceed the allowance at its root, however
 * deep or wide the tree is. Thread-safe.
 */
class RetryAllowance(
    left: Int = DEFAULT,
) {
    private val units = AtomicInteger(left.coerceIn(0, MAX))

    /** Units not yet used or lent. */
    val left: Int get() = units.get()

    /** Uses one unit for a retry. Returns false if none is left. */
    fun tryTakeOne(): Boolean = units.getAndUpdate { maxOf(0, it - 1) } > 0

    /**
     * Moves half of the units, rounded up, to an attempt; the result is sent in [HEADER]. The rest stays for retries
     * of this call and for its other child calls.
     */
    fun lend(): Int {
        val before = units.getAndUpdate { it / 2 }
        return before - before / 2
    }

    /** Returns [unused] lent units, after `not run` or as the response states. */
    fun giveBack(unused: Int) {
        if (unused > 0) units.getAndUpdate { minOf(MAX, it + unused) }
    }

    companion object {
        /** Name of the header, on requests the units lent and on responses the units not used. */
        const val HEADER = "lycheehill-retries-left"

        /** Allowance of a call that enters the mesh. */
        const val DEFAULT = 3

        /** Largest accepted allowance. */
        const val MAX = 10

        /** Reads [header]; a missing value gives [DEFAULT], a malformed one nothing. */
        fun received(header: String?): RetryAllowance =
            if (header == null) RetryAllowance() else RetryAllowance(header.trim().toIntOrNull() ?: 0)
    }
}
