package dev.lycheehill.measure.emulator

/** A fault or load peak between [fromMs] (inclusive) and [untilMs] (exclusive) of an emulated scenario. */
sealed interface EmulatedFault {
    val fromMs: Long
    val untilMs: Long

    /** Load peak: clients send [factor] times as many requests of [route]. */
    data class Burst(
        override val fromMs: Long,
        override val untilMs: Long,
        val route: String,
        val factor: Double,
    ) : EmulatedFault

    /** The first [servers] backend servers of [service] take [factor] times as long for each request. */
    data class Slow(
        override val fromMs: Long,
        override val untilMs: Long,
        val service: String,
        val servers: Int,
        val factor: Double,
    ) : EmulatedFault

    /**
     * The first [servers] backend servers of [service] fail the share [share] of the requests at once. A failed request
     * counts as executed.
     */
    data class Failing(
        override val fromMs: Long,
        override val untilMs: Long,
        val service: String,
        val servers: Int,
        val share: Double,
    ) : EmulatedFault

    /** The first [servers] backend servers of [service] refuse the share [share] of the requests, regardless of their load. */
    data class Shedding(
        override val fromMs: Long,
        override val untilMs: Long,
        val service: String,
        val servers: Int,
        val share: Double,
    ) : EmulatedFault

    /**
     * The first [servers] backend servers of [service] state a limit of [requestsPerSecond] in their responses. They run all requests
     * nevertheless.
     */
    data class Limited(
        override val fromMs: Long,
        override val untilMs: Long,
        val service: String,
        val servers: Int,
        val requestsPerSecond: Double,
    ) : EmulatedFault

    /**
     * All nodes and backend servers are down, and lose their state and the requests in flight. They restart at [untilMs];
     * the backend servers are slow for some seconds after the restart.
     */
    data class PowerOff(
        override val fromMs: Long,
        override val untilMs: Long,
    ) : EmulatedFault
}
