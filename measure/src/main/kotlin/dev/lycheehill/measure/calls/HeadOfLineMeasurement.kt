package dev.lycheehill.measure.calls

import dev.lycheehill.measure.MeasurementResult
import dev.lycheehill.standins.backend.ServiceTimeDistribution

/** Measures the latency of short calls while the demand for long calls alone exceeds the capacity. */
class HeadOfLineMeasurement : CallMeasurement {
    override val name = "head-of-line"

    override fun run(
        seed: Long,
        deployment: CallDeployment,
        print: (String) -> Unit,
    ): MeasurementResult {
        val comparison =
            BaselineComparison.measure { label, policies ->
                LoopbackMesh(deployment, policies, seed, shortCalls = SHORT, longCalls = LONG).use { mesh ->
                    OpenLoopLoadGenerator(mesh.callerAddresses, seed).use { load ->
                        val longRate = LONG_LOAD_SHARE * mesh.capacity(deployment, LONG_MEAN_SERVICE_TIME_MS)
                        load.run(listOf(LoadStream(LoopbackMesh.READ, JIT_WARM_UP_CALLS_PER_SECOND)), JIT_WARM_UP_MS)
                        val aloneP99Ms = measure("$label alone", load, 0.0, print)
                        measure("$label under long work", load, longRate, print) / aloneP99Ms
                    }
                }
            }
        return MeasurementResult(
            name = "$name short p99 under long work over alone",
            seed = seed,
            deployment = deployment.label,
            ours = comparison.ours,
            baseline = comparison.baseline,
            ratio = comparison.ours / comparison.baseline,
            target = "ours at most 1.5",
            met = comparison.ours <= TARGET_RATIO,
        )
    }

    private fun measure(
        label: String,
        load: OpenLoopLoadGenerator,
        longRate: Double,
        print: (String) -> Unit,
    ): Double {
        val short = LoadStream(LoopbackMesh.READ, SHORT_RATE)
        val streams = if (longRate > 0) listOf(short, LoadStream(LoopbackMesh.LONG_READ, longRate)) else listOf(short)
        val tallies = load.run(streams, PHASE_MS, warmUpMs = WARM_UP_MS)
        tallies.forEach { (kind, tally) ->
            print(
                "$label $kind p50=%.2f p99=%.2f ms success=%.4f n=%d".format(
                    tally.percentileMs(50.0),
                    tally.percentileMs(99.0),
                    tally.successShare,
                    tally.due,
                ),
            )
        }
        return tallies.getValue("read").percentileMs(99.0)
    }

    private companion object {
        val SHORT = ServiceTimeDistribution(medianMs = 5.0, p99Ms = 10.0)
        val LONG = ServiceTimeDistribution(medianMs = 200.0, p99Ms = 300.0)
        const val LONG_MEAN_SERVICE_TIME_MS = 203.0
        const val LONG_LOAD_SHARE = 1.2
        const val SHORT_RATE = 340.0
        const val PHASE_MS = 10_000L
        const val WARM_UP_MS = 3_000L
        const val JIT_WARM_UP_CALLS_PER_SECOND = 2_000.0
        const val JIT_WARM_UP_MS = 8_000L
        const val TARGET_RATIO = 1.5
    }
}
