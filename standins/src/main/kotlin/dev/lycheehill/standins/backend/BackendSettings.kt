package dev.lycheehill.standins.backend

/**
 * Settings of a [BackendStandIn].
 *
 * @property host address to bind.
 * @property port port to bind; 0 selects any free port.
 * @property slots maximum number of calls that run concurrently; further calls wait in order of arrival.
 * @property maxQueue maximum number of waiting calls; the server refuses further calls with status 503.
 * @property shortCalls service times of short calls.
 * @property longCalls service times of long calls.
 * @property coldStartMs duration of the cold start in milliseconds; calls take [coldFactor] times as long meanwhile.
 * @property coldFactor factor on the service times during the cold start.
 * @property loadLagMs delay of the reported load in milliseconds.
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
