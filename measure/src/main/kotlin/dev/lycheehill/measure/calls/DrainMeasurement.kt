package dev.lycheehill.measure.calls

import dev.lycheehill.measure.MeasurementResult
import dev.lycheehill.standins.backend.ServiceTimeDistribution
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CompletableFuture.delayedExecutor
import java.util.concurrent.TimeUnit

/**
 * Counts the calls that are lost when the node of one target stops under load, and the calls that its backend server starts
 * later than 3 s after the stop began. The node stops gracefully; in the baseline, the node is killed.
 */
class DrainMeasurement : CallMeasurement {
    override val name = "drain"

    override fun run(
        seed: Long,
        deployment: CallDeployment,
        print: (String) -> Unit,
    ): MeasurementResult {
        val comparison =
            BaselineComparison.measure { label, policies ->
                LoopbackMesh(deployment, policies, seed, shortCalls = SERVICE_TIME).use { mesh ->
                    OpenLoopLoadGenerator(mesh.callerAddresses, seed).use { load ->
                        load.run(listOf(LoadStream(WRITE, CALLS_PER_SECOND)), JIT_WARM_UP_MS)
                        measureDrain(label, mesh, load, print)
                    }
                }
            }
        return MeasurementResult(
            name = "$name calls lost or run after 3 s",
            seed = seed,
            deployment = deployment.label,
            ours = comparison.ours,
            baseline = comparison.baseline,
            ratio = if (comparison.baseline > 0) comparison.ours / comparison.baseline else 0.0,
            target = "none",
            met = comparison.ours == 0.0,
        )
    }

    private fun measureDrain(
        label: String,
        mesh: LoopbackMesh,
        load: OpenLoopLoadGenerator,
        print: (String) -> Unit,
    ): Double {
        val node = mesh.targetNodes[0]
        val stopTask = CompletableFuture.runAsync({ if (label == "ours") node.stop() else node.kill() }, executorAfter(STOP_AT_MS))
        var runsAtDrainLimit = 0
        val runCountTask = CompletableFuture.runAsync({ runsAtDrainLimit = startedRuns(mesh) }, executorAfter(STOP_AT_MS + MAX_DRAIN_MS))
        val tally = load.run(listOf(LoadStream(WRITE, CALLS_PER_SECOND)), DURATION_MS).getValue(WRITE.name)
        CompletableFuture.allOf(stopTask, runCountTask).join()
        val lateRuns = startedRuns(mesh) - runsAtDrainLimit
        val lost = tally.due - tally.succeeded
        print("$label due=${tally.due} succeeded=${tally.succeeded} cut=${tally.disconnected} lost=$lost runs after 3 s=$lateRuns")
        return (lost + lateRuns).toDouble()
    }

    private fun startedRuns(mesh: LoopbackMesh): Int =
        mesh.backends[0]
            .runs
            .all()
            .values
            .sumOf { it.started }

    private fun executorAfter(delayMs: Long) = delayedExecutor(delayMs, TimeUnit.MILLISECONDS)

    private companion object {
        val WRITE = CallKind("write", "/read", method = "POST")
        val SERVICE_TIME = ServiceTimeDistribution(medianMs = 20.0, p99Ms = 60.0)
        const val CALLS_PER_SECOND = 500.0
        const val JIT_WARM_UP_MS = 8_000L
        const val STOP_AT_MS = 3_000L
        const val MAX_DRAIN_MS = 3_000L
        const val DURATION_MS = 10_000L
    }
}
