package dev.lycheehill.measure.fleet

/**
 * Command that runs a measurement of a fleet. Its arguments are `NAME [SEED [DEPLOYMENT [SIZES]]]`, with the numbers of nodes
 * separated by commas.
 */
object FleetMeasureCommand {
    private val SIZES = listOf(25, 50, 100, 200)

    /** Returns all measurements of a fleet, for fleets of [sizes] nodes. */
    fun measurements(sizes: List<Int> = SIZES): List<FleetMeasurement> =
        listOf(ConvergenceMeasurement(sizes), ControlBytesMeasurement(sizes), StormMeasurement(sizes), NodeFootprintMeasurement(sizes))

    @JvmStatic
    fun main(arguments: Array<String>) {
        val sizes = arguments.getOrNull(3)?.split(',')?.map { it.toInt() } ?: SIZES
        val measurement = measurements(sizes).first { it.name == arguments.first() }
        val seed = arguments.getOrNull(1)?.toLong() ?: 1
        val deployment = FleetDeployment.of(arguments.getOrNull(2) ?: FleetDeployment.COOPERATIVE.label)
        println(measurement.run(seed, deployment).line())
    }
}
