package dev.lycheehill.calls.keys

import dev.lycheehill.core.time.NANOS_PER_MILLI

/** Vouchers for one epoch, each with the time at which the home asked for it. */
internal class VoucherSet(
    private val needed: Int,
    private val leaseMs: Long,
) {
    private val asked = HashMap<String, VoucherRequest>()
    private var oldestNeeded: VoucherRequest? = null

    fun add(
        memberId: String,
        request: VoucherRequest,
    ) {
        val known = asked[memberId]
        if (known != null && known.askedNanos - request.askedNanos >= 0) return
        asked[memberId] = request
        if (needed > 0 && asked.size >= needed) oldestNeeded = asked.values.sortedByDescending { it.askedNanos }[needed - 1]
    }

    /**
     * Whether the needed number of vouchers is valid. Both clocks must agree, because the monotonic clock may stand
     * still while the machine is suspended.
     */
    fun isValid(
        nowNanos: Long,
        wallMs: Long,
    ): Boolean {
        if (needed <= 0) return true
        val oldest = oldestNeeded ?: return false
        return nowNanos - oldest.askedNanos < leaseMs * NANOS_PER_MILLI && wallMs - oldest.askedWallMs < leaseMs
    }
}
