package dev.lycheehill.measure.calls

import dev.lycheehill.measure.MeasurementResult
import dev.lycheehill.standins.backend.ServiceTimeDistribution
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CompletableFuture.delayedExecutor
import java.util.concurrent.TimeUnit

/** Calls lost when one target leaves under load: by a graceful stop, and in the baseline by ending the node. */
class DrainMeasurement : CallMeasurement {
    override val name = "drain"

    override fun run(
        seed: Long,
        deployment: CallDeployment,
        print: (String) -> Unit,
    ): MeasurementResult {
        val pair =
            BaselineComparison.measure { label, policies ->
                LoopbackMesh(deployment, policies, seed, shortCalls = SERVICE_TIME).use { mesh ->
                    OpenLoopLoadGenerator(mesh.callerAddresses, seed).use { load ->
                        load.run(listOf(LoadStream(WRITE, CALLS_PER_SECOND)), COMPILE_MS)
                        leave(label, mesh, load, print)
                    }
                }
            }
        return MeasurementResult(
            name = "$name calls lost or run after 3 s",
            seed = seed,
            deployment = deployment.label,
            ours = pair.ours,
            baseline = pair.baseline,
            ratio = if (pair.baseline > 0) pair.ours / pair.baseline else 0.0,
            target = "none",
            met = pair.ours == 0.0,
        )
    }

    private fun leave(
        label: String,
        mesh: LoopbackMesh,
        load: OpenLoopLoadGenerator,
        print: (String) -> Unit,
    ): Double {
        val node = mesh.targetNodes[0]
        val leaving = CompletableFuture.runAsync({ if (label == "ours") node.stop() else node.kill() }, after(LEAVE_MS))
        var runsAtBound = 0
        val bound = CompletableFuture.runAsync({ runsAtBound = runs(mesh) }, after(LEAVE_MS + BOUND_MS))
        val tally = load.run(listOf(LoadStream(WRITE, CALLS_PER_SECOND)), DURATION_MS).getValue(WRITE.name)
        CompletableFuture.allOf(leaving, bound).join()
        val late = runs(mesh) - runsAtBound
        val lost = tally.due - tally.succeeded
        print("$label due=${tally.due} succeeded=${tally.succeeded} cut=${tally.cut} lost=$lost runs after 3 s=$late")
        return (lost + late).toDouble()
    }

    private fun runs(mesh: LoopbackMesh): Int =
        mesh.backends[0]
            .runs
            .all()
            .values
            .sumOf { it.started }

    private fun after(delayMs: Long) = delayedExecutor(delayMs, TimeUnit.MILLISECONDS)

    private companion object {
        val WRITE = CallKind("write", "/read", method = "POST")
        val SERVICE_TIME = ServiceTimeDistribution(medianMs = 20.0, p99Ms = 60.0)
        const val CALLS_PER_SECOND = 500.0
        const val COMPILE_MS = 8_000L
        const val LEAVE_MS = 3_000L
        const val BOUND_MS = 3_000L
        const val DURATION_MS = 10_000L
    }
}
