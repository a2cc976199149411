package dev.lycheehill.measure.calls

import dev.lycheehill.measure.MeasurementResult
import dev.lycheehill.standins.backend.ServiceTimeDistribution

/** Measures the tail latency with no slow target, with one, and with a third of the targets slow by a factor of ten. */
class SlowBackendMeasurement : CallMeasurement {
    override val name = "slow-backend"

    override fun run(
        seed: Long,
        deployment: CallDeployment,
        print: (String) -> Unit,
    ): MeasurementResult {
        val comparison =
            BaselineComparison.measure { label, policies ->
                LoopbackMesh(deployment, policies, seed, targets = TARGETS, shortCalls = SERVICE_TIME).use { mesh ->
                    OpenLoopLoadGenerator(mesh.callerAddresses, seed).use { load ->
                        load.run(listOf(LoadStream(LoopbackMesh.READ, CALLS_PER_SECOND)), JIT_WARM_UP_MS)
                        measurePhases(label, mesh, load, print)
                    }
                }
            }
        return MeasurementResult(
            name = "$name p99 with one slow over none",
            seed = seed,
            deployment = deployment.label,
            ours = comparison.ours.ratio,
            baseline = comparison.baseline.ratio,
            ratio = comparison.ours.ratio / comparison.baseline.ratio,
            target = "ours at most 1.3, with at least 0.99 of the calls answered in each phase",
            met = comparison.ours.ratio <= TARGET_RATIO && comparison.ours.lowestSuccessShare >= MIN_SUCCESS_SHARE,
        )
    }

    private fun measurePhases(
        label: String,
        mesh: LoopbackMesh,
        load: OpenLoopLoadGenerator,
        print: (String) -> Unit,
    ): SlowBackendFigures {
        val tallies =
            listOf(0, 1, TARGETS / 3).map { slowCount ->
                mesh.backends.forEachIndexed { index, backend -> backend.slowFactor = if (index < slowCount) SLOW_FACTOR else 1.0 }
                val tally =
                    load.run(listOf(LoadStream(LoopbackMesh.READ, CALLS_PER_SECOND)), PHASE_MS, warmUpMs = WARM_UP_MS).getValue("read")
                print(
                    "$label slow=$slowCount of $TARGETS p50=%.2f p99=%.2f p99.9=%.2f ms success=%.5f n=%d".format(
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

        // 340 calls/s for each of the six targets.
        const val CALLS_PER_SECOND = 2_040.0
        const val PHASE_MS = 9_000L
        const val WARM_UP_MS = 3_000L
        const val TARGET_RATIO = 1.3
        const val MIN_SUCCESS_SHARE = 0.99

        // Gives the JIT compiler of the JVM time to optimise the path before calls are counted.
        const val JIT_WARM_UP_MS = 8_000L
    }
}
