package dev.lycheehill.measure.emulator

/**
 * What is played: services and requests, with faults.
 *
 * @property zones number of availability zones; each has all services and an equal part of the clients.
 * @property serverSpeeds speeds of the backend servers of a service, in turn.
 * @property durationSigma spread of the durations; they are log-normal with this standard deviation of the logarithm.
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
