package dev.lycheehill.calls.verdict

import java.util.concurrent.atomic.AtomicInteger

/**
 * Number of retries that a call and all its descendants in the call tree may still use. One unit allows one retry. Thread-safe.
 *
 * Units are transferred and never copied. The retries of a whole call tree therefore never exceed the allowance of the root,
 * however deep or wide the tree is.
 */
class RetryAllowance(
    left: Int = DEFAULT,
) {
    private val units = AtomicInteger(left.coerceIn(0, MAX))

    /** Number of units that are neither used nor lent. */
    val left: Int get() = units.get()

    /** Takes one unit for a retry. Returns false if no unit is left. */
    fun tryTakeOne(): Boolean = units.getAndUpdate { maxOf(0, it - 1) } > 0

    /**
     * Lends half of the units, rounded up, to an attempt and returns their number, which is sent in [HEADER]. The remaining units
     * stay for retries of this call and for the other child calls.
     */
    fun lend(): Int {
        val before = units.getAndUpdate { it / 2 }
        return before - before / 2
    }

    /** Takes back [unused] lent units, after the verdict `not run` or as stated in the response. */
    fun giveBack(unused: Int) {
        if (unused > 0) units.getAndUpdate { minOf(MAX, it + unused) }
    }

    companion object {
        /** Name of the header with the units lent to a request, and with the units that a response leaves unused. */
        const val HEADER = "lycheehill-retries-left"

        /** Number of units of a call that enters the mesh. */
        const val DEFAULT = 3

        /** Largest number of units that is accepted. */
        const val MAX = 10

        /** Returns the allowance stated in [header]. A missing header gives [DEFAULT] units, a malformed one no units. */
        fun received(header: String?): RetryAllowance =
            if (header == null) RetryAllowance() else RetryAllowance(header.trim().toIntOrNull() ?: 0)
    }
}
