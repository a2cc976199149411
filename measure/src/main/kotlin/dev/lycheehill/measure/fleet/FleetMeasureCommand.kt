package dev.lycheehill.measure.fleet

/** Runs measurements of the fleet by name: `NAME [SEED [DEPLOYMENT]]`. */
object FleetMeasureCommand {
    /** All measurements of the fleet. */
    val measures: List<FleetMeasure> = listOf(ConvergenceMeasure())

    @JvmStatic
    fun main(arguments: Array<String>) {
        val measure = measures.first { it.name == arguments.first() }
        val seed = arguments.getOrNull(1)?.toLong() ?: 1
        val deployment = FleetDeployment.of(arguments.getOrNull(2) ?: FleetDeployment.COOPERATIVE.label)
        println(measure.run(seed, deployment).line())
    }
}
