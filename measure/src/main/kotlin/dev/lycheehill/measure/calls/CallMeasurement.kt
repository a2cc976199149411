package dev.lycheehill.measure.calls

import dev.lycheehill.measure.MeasurementResult

/** One measurement of calls over loopback sockets. */
interface CallMeasurement {
    /** Name of the command. */
    val name: String

    /** Runs the measurement, prints its series line by line and returns its result. */
    fun run(
        seed: Long,
        deployment: CallDeployment,
        print: (String) -> Unit = ::println,
    ): MeasurementResult
}
