package dev.lycheehill.measure.calls

import dev.lycheehill.measure.MeasureResult
import dev.lycheehill.standins.backend.ServiceTime

/** Tail latency while one target, then a third of the targets, take ten times as long. */
class SlowBackendMeasure : CallMeasure {
    override val name = "slow-backend"

    override fun run(
        seed: Long,
        deployment: CallDeployment,
        print: (String) -> Unit,
    ): MeasureResult {
        val pair =
            PolicyPair.measure { label, policies ->
                CallMesh(deployment, policies, seed, targets = TARGETS, shortCalls = SERVICE_TIME).use { mesh ->
                    OpenLoad(mesh.callerAddresses, seed).use { load -> ratioWithOneSlow(label, mesh, load, print) }
                }
            }
        return MeasureResult(
            name = "$name p99 with one slow over none",
            seed = seed,
            deployment = deployment.label,
            ours = pair.ours,
            baseline = pair.baseline,
            ratio = pair.ours / pair.baseline,
            target = "ours at most 1.3",
            met = pair.ours <= TARGET_RATIO,
        )
    }

    private fun ratioWithOneSlow(
        label: String,
        mesh: CallMesh,
        load: OpenLoad,
        print: (String) -> Unit,
    ): Double {
        val p99 =
            listOf(0, 1, TARGETS / 3).map { slow ->
                mesh.backends.forEachIndexed { index, backend -> backend.slowFactor = if (index < slow) SLOW_FACTOR else 1.0 }
                val tally =
                    load.run(listOf(LoadStream(CallMesh.READ, CALLS_PER_SECOND)), PHASE_MS, warmUpMs = WARM_UP_MS).getValue("read")
                print(
                    "$label slow=$slow of $TARGETS p50=%.2f p99=%.2f p99.9=%.2f ms success=%.5f n=%d".format(
                        tally.percentileMs(50.0),
                        tally.percentileMs(99.0),
                        tally.percentileMs(99.9),
                        tally.successShare,
                        tally.due,
                    ),
                )
                tally.percentileMs(99.0)
            }
        return p99[1] / p99[0]
    }

    private companion object {
        const val TARGETS = 6
        val SERVICE_TIME = ServiceTime(medianMs = 10.0, p99Ms = 25.0)
        const val SLOW_FACTOR = 10.0

        // 340 calls/s at each of the six targets.
        const val CALLS_PER_SECOND = 2_040.0
        const val PHASE_MS = 9_000L
        const val WARM_UP_MS = 3_000L
        const val TARGET_RATIO = 1.3
    }
}
