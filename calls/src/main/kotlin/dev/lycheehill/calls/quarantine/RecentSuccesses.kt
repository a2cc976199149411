package dev.lycheehill.calls.quarantine

import java.util.concurrent.atomic.AtomicLongArray

/**
 * Fixed-size table of the last successes of requests on this node. Thread-safe.
 *
 * With this table, a frequent request that was in flight at a crash only by chance can be cleared immediately. A newer request
 * overwrites an older one in the same slot.
 */
class RecentSuccesses(
    slots: Int = 8_192,
) {
    private val size = slots.takeHighestOneBit()
    private val fingerprints = AtomicLongArray(size)
    private val times = AtomicLongArray(size)

    /** Records a success of [fingerprint] at [nowMs], in milliseconds of the wall clock. */
    fun add(
        fingerprint: RequestFingerprint,
        nowMs: Long,
    ) {
        val slot = slotOf(fingerprint)
        // The time is cleared first, so that a concurrent reader never sees the time of another fingerprint.
        times.set(slot, 0)
        fingerprints.set(slot, fingerprint.low)
        times.set(slot, nowMs)
    }

    /** Returns the time of the last success of [fingerprint] in milliseconds of the wall clock, or null if no success is recorded. */
    fun lastMs(fingerprint: RequestFingerprint): Long? {
        val slot = slotOf(fingerprint)
        val before = times.get(slot)
        val isSame = fingerprints.get(slot) == fingerprint.low
        return before.takeIf { isSame && it != 0L && times.get(slot) == it }
    }

    private fun slotOf(fingerprint: RequestFingerprint): Int = fingerprint.high.toInt() and (size - 1)
}
