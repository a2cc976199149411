package dev.lycheehill.measure.calls

import dev.lycheehill.measure.MeasureResult

/** One measurement of calls over loopback sockets. */
interface CallMeasure {
    /** Name of the command. */
    val name: String

    /** Runs the measurement, prints its series line by line and returns its result. */
    fun run(
        seed: Long,
        deployment: CallDeployment,
        print: (String) -> Unit = ::println,
    ): MeasureResult
}
