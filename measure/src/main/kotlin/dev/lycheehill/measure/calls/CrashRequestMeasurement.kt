package dev.lycheehill.measure.calls

import dev.lycheehill.measure.MeasurementResult
import dev.lycheehill.standins.backend.BackendHeaders
import dev.lycheehill.standins.backend.BackendStandIn
import dev.lycheehill.standins.backend.ServiceTimeDistribution
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/**
 * Counts the crashes of backend servers while a caller repeatedly sends a request that crashes every server that executes
 * it. Crashed servers are restarted by a check that runs every second. Crash evidence is passed between the nodes in
 * memory, so that the result does not include the delay of gossip.
 */
class CrashRequestMeasurement : CallMeasurement {
    override val name = "crash-request"

    override fun run(
        seed: Long,
        deployment: CallDeployment,
        print: (String) -> Unit,
    ): MeasurementResult {
        val comparison =
            BaselineComparison.measure { label, policies ->
                val evidence = InProcessEvidenceChannel(enabled = label == "ours")
                LoopbackMesh(deployment, policies, seed, shortCalls = SERVICE_TIME, evidence = evidence).use { mesh ->
                    evidence.nodes = mesh.targetNodes
                    OpenLoopLoadGenerator(mesh.callerAddresses, seed).use { load -> countCrashes(label, mesh, load, print) }
                }
            }
        return MeasurementResult(
            name = "$name crashes",
            seed = seed,
            deployment = deployment.label,
            ours = comparison.ours,
            baseline = comparison.baseline,
            ratio = comparison.ours / comparison.baseline,
            target = "quarantined after crashes of two different targets",
            met = comparison.ours <= TARGET_CRASHES,
        )
    }

    private fun countCrashes(
        label: String,
        mesh: LoopbackMesh,
        load: OpenLoopLoadGenerator,
        print: (String) -> Unit,
    ): Double {
        val supervisor = Executors.newSingleThreadScheduledExecutor()
        mesh.backends.forEach { supervisor.scheduleWithFixedDelay({ restart(it) }, RESTART_MS, RESTART_MS, TimeUnit.MILLISECONDS) }
        val streams = listOf(LoadStream(LoopbackMesh.READ, CALLS_PER_SECOND), LoadStream(CRASH, CRASHES_PER_SECOND))
        val tallies = load.run(streams, DURATION_MS)
        supervisor.shutdownNow()
        val crashes = mesh.backends.sumOf { it.runs.countsOf(CRASH_KEY).started }
        val read = tallies.getValue(LoopbackMesh.READ.name)
        print("$label crashes=$crashes of ${tallies.getValue(CRASH.name).due} sent, other calls success=%.4f".format(read.successShare))
        return crashes.toDouble()
    }

    private fun restart(backend: BackendStandIn) {
        if (!backend.isUp) backend.start()
    }

    private companion object {
        const val CRASH_KEY = "crash"
        val CRASH =
            CallKind("crash", "/read/crash", "POST", mapOf(BackendHeaders.FAULT to "crash", BackendHeaders.REQUEST_KEY to CRASH_KEY))
        val SERVICE_TIME = ServiceTimeDistribution(medianMs = 5.0, p99Ms = 10.0)
        const val CALLS_PER_SECOND = 340.0
        const val CRASHES_PER_SECOND = 2.0
        const val RESTART_MS = 1_000L
        const val DURATION_MS = 15_000L
        const val TARGET_CRASHES = 2
    }
}
