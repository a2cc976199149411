package dev.lycheehill.calls.quarantine

import java.util.concurrent.atomic.AtomicLongArray

/**
 * Times of the last successes of requests on this node, so that a frequent request that was only in flight at a crash is
 * cleared at once. Of fixed size: a newer request overwrites an older one in the same slot. Thread-safe.
 */
class RecentSuccesses(
    slots: Int = 8_192,
) {
    private val size = slots.takeHighestOneBit()
    private val fingerprints = AtomicLongArray(size)
    private val times = AtomicLongArray(size)

    /** Records a success. */
    fun add(
        fingerprint: RequestFingerprint,
        nowMs: Long,
    ) {
        val slot = slotOf(fingerprint)
        // The time is cleared first, so that a concurrent reader never sees it with another fingerprint.
        times.set(slot, 0)
        fingerprints.set(slot, fingerprint.low)
        times.set(slot, nowMs)
    }

    /** Wall time of the last success of [fingerprint], or null if none is known. */
    fun lastMs(fingerprint: RequestFingerprint): Long? {
        val slot = slotOf(fingerprint)
        val before = times.get(slot)
        val isSame = fingerprints.get(slot) == fingerprint.low
        return before.takeIf { isSame && it != 0L && times.get(slot) == it }
    }

    private fun slotOf(fingerprint: RequestFingerprint): Int = fingerprint.high.toInt() and (size - 1)
}
