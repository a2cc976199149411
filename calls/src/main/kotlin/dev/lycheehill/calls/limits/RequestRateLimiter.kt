package dev.lycheehill.calls.limits

import kotlin.math.max

/**
 * Token bucket that bounds the rate of the requests to one backend server. Without a rate, all requests pass. Not thread-safe.
 *
 * Times named `nowNanos` are in nanoseconds of the monotonic clock of the node.
 */
class RequestRateLimiter(
    private val settings: RequestRateSettings = RequestRateSettings(),
) {
    private var tokensPerNano: Double? = null
    private var tokens = 0.0
    private var updatedAtNanos = 0L

    /** Whether a rate is set. */
    val isLimited: Boolean get() = tokensPerNano != null

    /** Mean time in nanoseconds between two requests at the rate; 0 without a rate. */
    val intervalNanos: Double get() = tokensPerNano?.let { 1 / it } ?: 0.0

    /** Sets the rate to [requestsPerSecond], but at least to [RequestRateSettings.minRequestsPerSecond]; null lifts the limit. */
    fun setRate(
        requestsPerSecond: Double?,
        nowNanos: Long,
    ) {
        val wasLimited = isLimited
        if (wasLimited) refill(nowNanos)
        tokensPerNano = requestsPerSecond?.let { max(it, settings.minRequestsPerSecond) / NANOS_PER_SECOND }
        if (!wasLimited) tokens = 1.0
        tokens = minOf(tokens, maxTokens())
        updatedAtNanos = nowNanos
    }

    /** Returns whether a request may be sent now. */
    fun hasToken(nowNanos: Long): Boolean {
        if (!isLimited) return true
        refill(nowNanos)
        return tokens >= 1
    }

    /** Takes the token of a request. Must be called only after [hasToken] has returned true for the same time. */
    fun takeToken() {
        if (isLimited) tokens--
    }

    /** Returns the time in nanoseconds until a request may be sent before which [requestsAhead] other requests are sent. */
    fun waitNanos(
        requestsAhead: Int,
        nowNanos: Long,
    ): Double {
        val rate = tokensPerNano ?: return 0.0
        refill(nowNanos)
        return max(0.0, requestsAhead + 1 - tokens) / rate
    }

    private fun refill(nowNanos: Long) {
        val rate = tokensPerNano ?: return
        tokens = minOf(maxTokens(), tokens + max(0L, nowNanos - updatedAtNanos) * rate)
        updatedAtNanos = nowNanos
    }

    private fun maxTokens(): Double = max(1.0, (tokensPerNano ?: 0.0) * settings.burstMs * NANOS_PER_MILLI)

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        const val NANOS_PER_MILLI = 1e6
    }
}
