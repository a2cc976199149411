package dev.lycheehill.measure.fleet

/** Runs measurements of the fleet by name: `NAME [SEED [DEPLOYMENT [SIZES]]]`, with the sizes separated by commas. */
object FleetMeasureCommand {
    private val SIZES = listOf(25, 50, 100, 200)

    /** All measurements of the fleet. */
    fun measurements(sizes: List<Int> = SIZES): List<FleetMeasurement> =
        listOf(ConvergenceMeasurement(sizes), ControlBytesMeasurement(sizes), StormMeasurement(sizes), NodeFootprintMeasurement(sizes))

    @JvmStatic
    fun main(arguments: Array<String>) {
        val sizes = arguments.getOrNull(3)?.split(',')?.map { it.toInt() } ?: SIZES
        val measure = measurements(sizes).first { it.name == arguments.first() }
        val seed = arguments.getOrNull(1)?.toLong() ?: 1
        val deployment = FleetDeployment.of(arguments.getOrNull(2) ?: FleetDeployment.COOPERATIVE.label)
        println(measure.run(seed, deployment).line())
    }
}
