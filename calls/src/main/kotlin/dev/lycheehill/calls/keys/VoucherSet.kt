package dev.lycheehill.calls.keys

import dev.lycheehill.core.time.NANOS_PER_MILLI

/** Vouchers for one epoch, each with the request of the home to which it belongs. Not thread-safe. */
internal class VoucherSet(
    private val needed: Int,
    private val leaseMs: Long,
) {
    private val requests = HashMap<String, VoucherRequest>()
    private var oldestNeeded: VoucherRequest? = null

    fun add(
        memberId: String,
        request: VoucherRequest,
    ) {
        val known = requests[memberId]
        if (known != null && known.askedNanos - request.askedNanos >= 0) return
        requests[memberId] = request
        if (needed > 0 && requests.size >= needed) oldestNeeded = requests.values.sortedByDescending { it.askedNanos }[needed - 1]
    }

    /**
     * Returns whether the needed number of vouchers is valid. The lease must be unexpired on both clocks, because the monotonic clock
     * may stop while the machine is suspended.
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
