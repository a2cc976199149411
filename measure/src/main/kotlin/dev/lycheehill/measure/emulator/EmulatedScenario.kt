package dev.lycheehill.measure.emulator

/**
 * Services, load and faults of one emulation.
 *
 * @property zones number of availability zones; each zone has all services and an equal share of the clients.
 * @property durationMs time during which clients send requests.
 * @property serverSpeeds speed factors, assigned to the backend servers of a service in turn.
 * @property durationSigma standard deviation of the logarithm of the execution times, which are log-normally distributed.
 * @property crossZoneLatencyMs one-way latency that a call to another availability zone adds.
 * @property clientLatencyMs one-way latency between a client and its node.
 */
data class EmulatedScenario(
    val name: String,
    val services: List<EmulatedService>,
    val routes: List<EmulatedRoute>,
    val faults: List<EmulatedFault> = emptyList(),
    val zones: Int = 4,
    val durationMs: Long = 30_000,
    val serverSpeeds: List<Double> = listOf(0.5, 1.0, 1.0, 1.5),
    val durationSigma: Double = 0.8,
    val crossZoneLatencyMs: Long = 1,
    val clientLatencyMs: Long = 3,
)
