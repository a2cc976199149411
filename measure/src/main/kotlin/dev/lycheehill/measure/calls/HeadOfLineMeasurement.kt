package dev.lycheehill.measure.calls

import dev.lycheehill.measure.MeasurementResult
import dev.lycheehill.standins.backend.ServiceTimeDistribution

/** Latency of short calls while long calls ask for more than the whole capacity. */
class HeadOfLineMeasurement : CallMeasurement {
    override val name = "head-of-line"

    override fun run(
        seed: Long,
        deployment: CallDeployment,
        print: (String) -> Unit,
    ): MeasurementResult {
        val pair =
            BaselineComparison.measure { label, policies ->
                LoopbackMesh(deployment, policies, seed, shortCalls = SHORT, longCalls = LONG).use { mesh ->
                    OpenLoopLoadGenerator(mesh.callerAddresses, seed).use { load ->
                        val longRate = LONG_LOAD * mesh.capacity(deployment, LONG_MEAN_MS)
                        load.run(listOf(LoadStream(LoopbackMesh.READ, COMPILE_RATE)), COMPILE_MS)
                        val alone = measure("$label alone", load, 0.0, print)
                        measure("$label under long work", load, longRate, print) / alone
                    }
                }
            }
        return MeasurementResult(
            name = "$name short p99 under long work over alone",
            seed = seed,
            deployment = deployment.label,
            ours = pair.ours,
            baseline = pair.baseline,
            ratio = pair.ours / pair.baseline,
            target = "ours at most 1.5",
            met = pair.ours <= TARGET_RATIO,
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
        const val LONG_MEAN_MS = 203.0
        const val LONG_LOAD = 1.2
        const val SHORT_RATE = 340.0
        const val PHASE_MS = 10_000L
        const val WARM_UP_MS = 3_000L
        const val COMPILE_RATE = 2_000.0
        const val COMPILE_MS = 8_000L
        const val TARGET_RATIO = 1.5
    }
}
