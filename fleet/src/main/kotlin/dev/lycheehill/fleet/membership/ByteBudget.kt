package dev.lycheehill.fleet.membership

/** Token bucket that limits sent bytes to [bytesPerSecond], with bursts of up to [burstBytes]. */
internal class ByteBudget(
    private val bytesPerSecond: Int,
    private val burstBytes: Int = 2 * bytesPerSecond,
) {
    private var available = burstBytes.toLong()
    private var refilledAtMs: Long? = null

    /** Refills the bucket and returns the number of bytes that may be sent at [nowMs]. */
    fun available(nowMs: Long): Int {
        val elapsedMs = nowMs - (refilledAtMs ?: nowMs)
        available = minOf(burstBytes.toLong(), available + elapsedMs * bytesPerSecond / 1_000)
        refilledAtMs = nowMs
        return available.coerceAtLeast(0).toInt()
    }

    /** Withdraws [bytes] that are sent. The balance may become negative. */
    fun take(bytes: Int) {
        available -= bytes
    }
}
