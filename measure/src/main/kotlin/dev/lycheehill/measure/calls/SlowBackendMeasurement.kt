package dev.lycheehill.measure.calls

import dev.lycheehill.measure.MeasurementResult
import dev.lycheehill.standins.backend.ServiceTimeDistribution

/** Tail latency while one target, then a third of the targets, take ten times as long. */
class SlowBackendMeasurement : CallMeasurement {
    override val name = "slow-backend"

    override fun run(
        seed: Long,
        deployment: CallDeployment,
        print: (String) -> Unit,
    ): MeasurementResult {
        val pair =
            BaselineComparison.measure { label, policies ->
                LoopbackMesh(deployment, policies, seed, targets = TARGETS, shortCalls = SERVICE_TIME).use { mesh ->
                    OpenLoopLoadGenerator(mesh.callerAddresses, seed).use { load ->
                        load.run(listOf(LoadStream(LoopbackMesh.READ, CALLS_PER_SECOND)), COMPILE_MS)
                        figures(label, mesh, load, print)
                    }
                }
            }
        return MeasurementResult(
            name = "$name p99 with one slow over none",
            seed = seed,
            deployment = deployment.label,
            ours = pair.ours.ratio,
            baseline = pair.baseline.ratio,
            ratio = pair.ours.ratio / pair.baseline.ratio,
            target = "ours at most 1.3, with at least 0.99 of the calls answered in each phase",
            met = pair.ours.ratio <= TARGET_RATIO && pair.ours.lowestSuccess >= LOWEST_SUCCESS,
        )
    }

    private fun figures(
        label: String,
        mesh: LoopbackMesh,
        load: OpenLoopLoadGenerator,
        print: (String) -> Unit,
    ): SlowBackendFigures {
        val tallies =
            listOf(0, 1, TARGETS / 3).map { slow ->
                mesh.backends.forEachIndexed { index, backend -> backend.slowFactor = if (index < slow) SLOW_FACTOR else 1.0 }
                val tally =
                    load.run(listOf(LoadStream(LoopbackMesh.READ, CALLS_PER_SECOND)), PHASE_MS, warmUpMs = WARM_UP_MS).getValue("read")
                print(
                    "$label slow=$slow of $TARGETS p50=%.2f p99=%.2f p99.9=%.2f ms success=%.5f n=%d".format(
                        tally.percentileMs(50.0),
                        tally.percentileMs(99.0),
                        tally.percentileMs(99.9),
                        tally.successShare,
                        tally.due,
                    ),
                )
                tally
            }
        return SlowBackendFigures(tallies[1].percentileMs(99.0) / tallies[0].percentileMs(99.0), tallies.minOf { it.successShare })
    }

    private companion object {
        const val TARGETS = 6
        val SERVICE_TIME = ServiceTimeDistribution(medianMs = 10.0, p99Ms = 25.0)
        const val SLOW_FACTOR = 10.0

        // 340 calls/s at each of the six targets.
        const val CALLS_PER_SECOND = 2_040.0
        const val PHASE_MS = 9_000L
        const val WARM_UP_MS = 3_000L
        const val TARGET_RATIO = 1.3
        const val LOWEST_SUCCESS = 0.99

        // Time for the compilers of the JVM, before anything is counted.
        const val COMPILE_MS = 8_000L
    }
}
