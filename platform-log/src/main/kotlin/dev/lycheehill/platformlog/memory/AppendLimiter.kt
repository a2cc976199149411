package dev.lycheehill.platformlog.memory

/** Token bucket that limits the rate of appends. Its capacity is the number of appends permitted in one second. Thread-safe. */
class AppendLimiter {
    private var tokens = Double.MAX_VALUE
    private var refilledAtMs = 0L

    /**
     * Acquires a token at time [nowMs] for a limit of [appendsPerS] appends per second; null means no limit.
     *
     * Returns 0 when there was a token, otherwise the time in milliseconds after which to try again.
     */
    @Synchronized
    fun tryAcquire(
        appendsPerS: Int?,
        nowMs: Long,
    ): Long {
        if (appendsPerS == null) {
            tokens = Double.MAX_VALUE
            return 0
        }
        refill(appendsPerS, nowMs)
        if (tokens >= 1) {
            tokens -= 1
            return 0
        }
        return if (appendsPerS <= 0) MS_PER_S else ((1 - tokens) * MS_PER_S / appendsPerS).toLong() + 1
    }

    private fun refill(
        appendsPerS: Int,
        nowMs: Long,
    ) {
        val added = (nowMs - refilledAtMs) * appendsPerS / MS_PER_S.toDouble()
        tokens = minOf(appendsPerS.toDouble(), tokens + added)
        refilledAtMs = nowMs
    }

    private companion object {
        const val MS_PER_S = 1_000L
    }
}
