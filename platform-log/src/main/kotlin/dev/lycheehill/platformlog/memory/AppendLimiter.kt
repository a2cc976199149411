package dev.lycheehill.platformlog.memory

/** Token bucket for appends that holds one second's worth of tokens. Thread-safe. */
class AppendLimiter {
    private var tokens = Double.MAX_VALUE
    private var refilledAtMs = 0L

    /** Takes a token at [nowMs]; returns 0, or the time in milliseconds after which the next token is there. */
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
