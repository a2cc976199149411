package dev.lycheehill.measure.fleet

import dev.lycheehill.measure.MeasurementResult

/** Measurement of the control traffic, the state or the recovery of a fleet of nodes, compared with a baseline. */
interface FleetMeasurement {
    /** Name that selects the measurement on the command line. */
    val name: String

    /** Runs the measurement, passes each line of its series to [print] and returns its result. */
    fun run(
        seed: Long,
        deployment: FleetDeployment,
        print: (String) -> Unit = ::println,
    ): MeasurementResult
}
