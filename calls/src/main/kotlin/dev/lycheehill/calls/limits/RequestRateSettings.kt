package dev.lycheehill.calls.limits

/**
 * Settings of [RequestRateLimiter].
 *
 * @property burstMs time in milliseconds for which unused tokens accumulate.
 * @property minRequestsPerSecond least rate. A backend server that states a limit of 0 gets this rate, because only a response can tell
 *   that the limit has ended.
 */
data class RequestRateSettings(
    val burstMs: Long = 200,
    val minRequestsPerSecond: Double = 0.5,
)
