package dev.lycheehill.measure.calls

/** Runs measurements of calls by name: `NAME [SEED [DEPLOYMENT]]`. */
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
        val measure = measurements.first { it.name == arguments.first() }
        val seed = arguments.getOrNull(1)?.toLong() ?: 1
        val deployment = CallDeployment.of(arguments.getOrNull(2) ?: CallDeployment.COOPERATIVE.label)
        println(measure.run(seed, deployment).line())
    }
}
