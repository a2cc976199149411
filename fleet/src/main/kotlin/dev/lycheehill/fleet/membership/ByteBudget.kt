package dev.lycheehill.fleet.membership

/** Token bucket of [bytesPerSecond] with a burst of [burstBytes]. */
internal class ByteBudget(
    private val bytesPerSecond: Int,
    private val burstBytes: Int = 2 * bytesPerSecond,
) {
    private var available = burstBytes.toLong()
    private var refilledAtMs: Long? = null

    /** Bytes that may be sent at [nowMs]. */
    fun available(nowMs: Long): Int {
        val elapsedMs = nowMs - (refilledAtMs ?: nowMs)
        available = minOf(burstBytes.toLong(), available + elapsedMs * bytesPerSecond / 1_000)
        refilledAtMs = nowMs
        return available.coerceAtLeast(0).toInt()
    }

    /** Counts [bytes] as sent. */
    fun take(bytes: Int) {
        available -= bytes
    }
}
