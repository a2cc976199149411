package dev.lycheehill.measure.emulator

/** A disturbance from [fromMs] to [untilMs] of an emulated day. */
sealed interface EmulatedFault {
    val fromMs: Long
    val untilMs: Long

    /** Clients send [factor] times as many requests of [route]. */
    data class Burst(
        override val fromMs: Long,
        override val untilMs: Long,
        val route: String,
        val factor: Double,
    ) : EmulatedFault

    /** The first [servers] backend servers of [service] take [factor] times as long. */
    data class Slow(
        override val fromMs: Long,
        override val untilMs: Long,
        val service: String,
        val servers: Int,
        val factor: Double,
    ) : EmulatedFault

    /** The first [servers] backend servers of [service] fail the share [share] of the requests at once, having run them. */
    data class Failing(
        override val fromMs: Long,
        override val untilMs: Long,
        val service: String,
        val servers: Int,
        val share: Double,
    ) : EmulatedFault

    /** The first [servers] backend servers of [service] refuse the share [share] of the requests, whatever their load. */
    data class Shedding(
        override val fromMs: Long,
        override val untilMs: Long,
        val service: String,
        val servers: Int,
        val share: Double,
    ) : EmulatedFault

    /** All nodes and backend servers lose what they know and hold, and are back at [untilMs], slow for some seconds. */
    data class PowerOff(
        override val fromMs: Long,
        override val untilMs: Long,
    ) : EmulatedFault
}
