package dev.lycheehill.measure.calls

import dev.lycheehill.measure.MeasurementResult
import dev.lycheehill.standins.backend.ServiceTimeDistribution

/** Measures goodput and success while demand rises fivefold within 2 s to 1.25 times the capacity, and then stays there. */
class DemandPeakMeasurement : CallMeasurement {
    override val name = "crest"

    override fun run(
        seed: Long,
        deployment: CallDeployment,
        print: (String) -> Unit,
    ): MeasurementResult {
        val comparison =
            BaselineComparison.measure { label, policies ->
                LoopbackMesh(deployment, policies, seed, shortCalls = SERVICE_TIME).use { mesh ->
                    OpenLoopLoadGenerator(mesh.callerAddresses, seed).use { load ->
                        val capacity = mesh.capacity(deployment, MEAN_SERVICE_TIME_MS)
                        load.run(listOf(LoadStream(LoopbackMesh.READ, capacity / 2)), JIT_WARM_UP_MS)
                        measurePeak(label, load, capacity, print)
                    }
                }
            }
        return MeasurementResult(
            name = "$name goodput over capacity",
            seed = seed,
            deployment = deployment.label,
            ours = comparison.ours.goodputShare,
            baseline = comparison.baseline.goodputShare,
            ratio = comparison.ours.goodputShare / comparison.baseline.goodputShare,
            target = "high-priority success at least 0.999 and goodput at least 0.95",
            met = comparison.ours.highSuccessShare >= MIN_HIGH_SUCCESS && comparison.ours.goodputShare >= MIN_GOODPUT_SHARE,
        )
    }

    private fun measurePeak(
        label: String,
        load: OpenLoopLoadGenerator,
        capacity: Double,
        print: (String) -> Unit,
    ): DemandPeakFigures {
        val demand = { seconds: Double ->
            capacity * PEAK_LOAD * (1 + (RISE_FACTOR - 1) * (seconds - STEADY_S).coerceIn(0.0, RISE_S) / RISE_S) /
                RISE_FACTOR
        }
        val streams =
            listOf(
                LoadStream(LoopbackMesh.URGENT) { demand(it) * HIGH_SHARE },
                LoadStream(LoopbackMesh.READ) { demand(it) * (1 - HIGH_SHARE) },
            )
        val tallies = load.run(streams, durationMs = DURATION_MS, warmUpMs = ((STEADY_S + RISE_S) * 1_000).toLong())
        val high = tallies.getValue("urgent")
        val normal = tallies.getValue("read")
        val seconds = DURATION_MS / 1_000.0 - STEADY_S - RISE_S
        val figures = DemandPeakFigures((high.succeeded + normal.succeeded) / seconds / capacity, high.successShare)
        print(
            "$label high success=%.5f p99=%.1f ms normal success=%.4f p99=%.1f ms goodput=%.4f of %.0f calls/s".format(
                high.successShare,
                high.percentileMs(99.0),
                normal.successShare,
                normal.percentileMs(99.0),
                figures.goodputShare,
                capacity,
            ),
        )
        return figures
    }

    private companion object {
        val SERVICE_TIME = ServiceTimeDistribution(medianMs = 20.0, p99Ms = 30.0)

        // Mean of the log-normal distribution of `SERVICE_TIME`.
        const val MEAN_SERVICE_TIME_MS = 20.31
        const val PEAK_LOAD = 1.25
        const val RISE_FACTOR = 5.0
        const val STEADY_S = 5.0
        const val RISE_S = 2.0
        const val HIGH_SHARE = 0.2
        const val DURATION_MS = 17_000L
        const val JIT_WARM_UP_MS = 8_000L
        const val MIN_HIGH_SUCCESS = 0.999
        const val MIN_GOODPUT_SHARE = 0.95
    }
}
