package dev.lycheehill.measure.calls

import dev.lycheehill.measure.MeasurementResult

/** Measurement of calls over loopback sockets, compared with a baseline. */
interface CallMeasurement {
    /** Name that selects the measurement on the command line. */
    val name: String

    /** Runs the measurement, passes each line of its series to [print] and returns its result. */
    fun run(
        seed: Long,
        deployment: CallDeployment,
        print: (String) -> Unit = ::println,
    ): MeasurementResult
}
