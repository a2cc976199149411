package dev.lycheehill.measure.fleet

import dev.lycheehill.measure.MeasurementResult

/** One measurement of the fleet. */
interface FleetMeasurement {
    /** Name of the command. */
    val name: String

    /** Runs the measurement, prints its series line by line and returns its result. */
    fun run(
        seed: Long,
        deployment: FleetDeployment,
        print: (String) -> Unit = ::println,
    ): MeasurementResult
}
