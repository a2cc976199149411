package dev.lycheehill.measure.calls

/** Command that runs a measurement of calls. Its arguments are `NAME [SEED [DEPLOYMENT]]`. */
object CallMeasureCommand {
    /** All measurements of calls. */
    val measurements: List<CallMeasurement> =
        listOf(
            AddedLatencyMeasurement(),
            SlowBackendMeasurement(),
            HeadOfLineMeasurement(),
            DemandPeakMeasurement(),
            DrainMeasurement(),
            CrashRequestMeasurement(),
        )

    @JvmStatic
    fun main(arguments: Array<String>) {
        val measurement = measurements.first { it.name == arguments.first() }
        val seed = arguments.getOrNull(1)?.toLong() ?: 1
        val deployment = CallDeployment.of(arguments.getOrNull(2) ?: CallDeployment.COOPERATIVE.label)
        println(measurement.run(seed, deployment).line())
    }
}
