package dev.lycheehill.measure.calls

import dev.lycheehill.measure.MeasurementResult
import dev.lycheehill.node.policy.StandardPolicies
import dev.lycheehill.standins.backend.ServiceTimeDistribution
import java.net.InetSocketAddress

/**
 * Measures the latency that two nodes on the path add to a direct call to the same backend server, at 340 calls/s per node.
 *
 * Direct calls and calls through the nodes are measured alternately in several rounds, so that other load on the machine
 * affects both equally.
 */
class AddedLatencyMeasurement : CallMeasurement {
    override val name = "added-latency"

    override fun run(
        seed: Long,
        deployment: CallDeployment,
        print: (String) -> Unit,
    ): MeasurementResult =
        LoopbackMesh(deployment, StandardPolicies, seed, targets = 1, callers = 1, shortCalls = SERVICE_TIME).use { mesh ->
            val backend = mesh.backends.single().address
            val direct = OpenLoopLoadGenerator(listOf(InetSocketAddress("127.0.0.1", backend.substringAfterLast(':').toInt())), seed)
            val meshed = OpenLoopLoadGenerator(mesh.callerAddresses, seed)
            direct.use { meshed.use { compare(seed, deployment, direct, meshed, print) } }
        }

    private fun compare(
        seed: Long,
        deployment: CallDeployment,
        direct: OpenLoopLoadGenerator,
        meshed: OpenLoopLoadGenerator,
        print: (String) -> Unit,
    ): MeasurementResult {
        // The JIT compiler of the JVM needs some ten thousand calls to optimise the path.
        listOf(direct, meshed).forEach {
            val warmUp =
                it
                    .run(
                        listOf(LoadStream(LoopbackMesh.READ, WARM_UP_CALLS_PER_SECOND)),
                        WARM_UP_MS,
                    ).getValue(LoopbackMesh.READ.name)
            print("warm-up ${describe(warmUp)}")
        }
        val ours = LoadTally()
        val baseline = LoadTally()
        repeat(ROUNDS) { round ->
            val directRound = measure(direct)
            val meshedRound = measure(meshed)
            baseline.latencies.add(directRound.latencies)
            ours.latencies.add(meshedRound.latencies)
            print("round=$round direct ${describe(directRound)} meshed ${describe(meshedRound)}")
        }
        val addedP99Ms = ours.percentileMs(P99) - baseline.percentileMs(P99)
        print("all direct ${describe(baseline)} meshed ${describe(ours)}")
        print("added p50=%.3f ms p99=%.3f ms".format(ours.percentileMs(P50) - baseline.percentileMs(P50), addedP99Ms))
        return MeasurementResult(
            name = "$name p99 ms",
            seed = seed,
            deployment = deployment.label,
            ours = ours.percentileMs(P99),
            baseline = baseline.percentileMs(P99),
            ratio = ours.percentileMs(P99) / baseline.percentileMs(P99),
            target = "ours minus direct at most 1 ms",
            met = addedP99Ms <= TARGET_MS && ours.latencies.totalCount == baseline.latencies.totalCount,
        )
    }

    private fun measure(load: OpenLoopLoadGenerator): LoadTally =
        load.run(listOf(LoadStream(LoopbackMesh.READ, CALLS_PER_SECOND)), ROUND_MS, warmUpMs = 500).getValue(LoopbackMesh.READ.name)

    private fun describe(tally: LoadTally): String =
        "p50=%.3f p99=%.3f ms n=%d statuses=%s".format(
            tally.percentileMs(P50),
            tally.percentileMs(P99),
            tally.latencies.totalCount,
            tally.statuses,
        )

    private companion object {
        val SERVICE_TIME = ServiceTimeDistribution(0.0, 0.0)
        const val CALLS_PER_SECOND = 340.0
        const val WARM_UP_CALLS_PER_SECOND = 3_000.0
        const val WARM_UP_MS = 8_000L
        const val ROUND_MS = 5_500L
        const val ROUNDS = 4
        const val P50 = 50.0
        const val P99 = 99.0
        const val TARGET_MS = 1.0
    }
}
