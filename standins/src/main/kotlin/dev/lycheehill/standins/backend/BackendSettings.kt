package dev.lycheehill.standins.backend

/**
 * Properties of a [BackendStandIn].
 *
 * @property port 0 means any free port.
 * @property slots calls that run at a time; further ones wait in order of arrival.
 * @property maxQueue calls that may wait; beyond it the server answers 503.
 * @property coldStartMs time after the start in which calls take [coldFactor] times as long.
 * @property loadLagMs age of the load that the server reports.
 * @property seed seed of the service times.
 */
data class BackendSettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val slots: Int = 10,
    val maxQueue: Int = 1_000,
    val shortCalls: ServiceTimeDistribution = ServiceTimeDistribution(0.0, 0.0),
    val longCalls: ServiceTimeDistribution = ServiceTimeDistribution(0.0, 0.0),
    val coldStartMs: Long = 0,
    val coldFactor: Double = 5.0,
    val loadLagMs: Long = 0,
    val seed: Long = 1,
)
