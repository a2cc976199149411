package dev.lycheehill.cli.demo

import dev.lycheehill.http.BlockingHttpClient
import java.io.PrintWriter
import java.util.Random

/**
 * Demo: runs a complete mesh in this process, with callers, configuration changes and faults, and checks the guarantees of the mesh.
 *
 * @param durationS minimum duration of the load in seconds.
 * @param out receives a line for each step.
 */
class Demo(
    private val deployment: Deployment,
    private val seed: Long,
    private val durationS: Int,
    out: PrintWriter,
) {
    private val startNanos = System.nanoTime()
    private val printer = ProgressPrinter(out, startNanos)
    private val tally = LoadTally()
    private val versionMonitor = VersionMonitor()
    private val recorder = DemoRecorder(printer, versionMonitor)

    /** Runs all steps and returns the report. Blocks. */
    fun run(): DemoReport =
        DemoPlatformLog(seed).use { log ->
            DemoMesh(deployment, log.client, seed, versionMonitor).use { mesh -> runSteps(log, mesh) }
        }

    private fun runSteps(
        log: DemoPlatformLog,
        mesh: DemoMesh,
    ): DemoReport {
        printer.print(
            "${deployment.name}: starting ${deployment.targets} instances in zones ${deployment.zones.joinToString()} (seed $seed)",
        )
        mesh.start()
        recorder.check("every node sees every target as ready", mesh.awaitReady(READY_TIMEOUT_MS))
        val script = DemoScript(deployment, mesh, log.publisher { mesh.live.first().agent }, log, tally, recorder)
        script.publishFirstVersion()
        newLoad(mesh).use { load ->
            load.start()
            Thread.sleep(STEADY_MS)
            recorder.print("callers send reads and keyed orders: ${tally.count(RequestOutcome.SUCCEEDED)} requests succeeded so far")
            script.changeRoute()
            script.publishConcurrently()
            script.publishBadPatch()
            script.drainTarget()
            script.killNode()
            script.runLogOutage()
            Thread.sleep(maxOf(0, durationS * 1_000L - elapsedMs()))
            recorder.check("every request has an outcome", load.stop(STOP_TIMEOUT_MS) && tally.inFlight == 0L)
        }
        checkRequests(mesh)
        return report(mesh)
    }

    private fun newLoad(mesh: DemoMesh): DemoLoad {
        val http = BlockingHttpClient(CONNECT_TIMEOUT_MS)
        val keys = UuidV7(Random(seed + 2))
        val newKey = { keys.next(System.currentTimeMillis()).toString() }
        val callers = mesh.live.map { own -> DemoCaller(deployment.host, { mesh.egressAddresses(own) }, http, newKey = newKey) }
        return DemoLoad(deployment, callers, tally, seed)
    }

    private fun checkRequests(mesh: DemoMesh) {
        val runs = OrderRunCounts.of(mesh)
        val ended = tally.endedOrders
        val notRun = ended.filterValues { it == RequestOutcome.NOT_RUN }.keys
        val succeeded = ended.filterValues { it == RequestOutcome.SUCCEEDED }.keys
        recorder.check("no order ran twice", runs.duplicated == 0L)
        recorder.check("an order that was reported as not run did not run", notRun.none { runs.started(it) > 0 })
        recorder.check("an order that was reported as run ran", succeeded.all { runs.started(it) > 0 })
        recorder.check("each caller got the complete response to its own request", tally.count(RequestOutcome.WRONG_RESPONSE) == 0L)
        recorder.check("no request failed", failed() == 0L)
        recorder.check("no node went back to an older version", versionMonitor.regressions == 0)
        recorder.print(
            "sent ${tally.sent} requests: ${tally.count(RequestOutcome.SUCCEEDED)} succeeded, ${failed()} failed, " +
                "${tally.count(RequestOutcome.MAY_HAVE_RUN)} may have run, ${runs.duplicated} ran twice",
        )
    }

    private fun report(mesh: DemoMesh): DemoReport {
        versionMonitor.close()
        val times = recorder.convergenceMs
        return DemoReport(
            ok = recorder.failedChecks.isEmpty(),
            deployment = deployment.name,
            seed = seed,
            durationMs = elapsedMs(),
            nodes = mesh.live.size,
            versionsAccepted = recorder.versionsAccepted,
            patchesRefused = recorder.patchesRefused,
            requestsSent = tally.sent,
            requestsFailed = failed(),
            requestsMayHaveRun = tally.count(RequestOutcome.MAY_HAVE_RUN),
            requestsDuplicated = OrderRunCounts.of(mesh).duplicated,
            versionRegressions = versionMonitor.regressions,
            convergenceMsMax = times.lastOrNull() ?: -1,
            convergenceMsP50 = times.getOrNull(times.size / 2) ?: -1,
            failedChecks = recorder.failedChecks,
        )
    }

    private fun failed(): Long = FAILURES.sumOf { tally.count(it) }

    private fun elapsedMs(): Long = (System.nanoTime() - startNanos) / 1_000_000

    private companion object {
        const val CONNECT_TIMEOUT_MS = 1_000L
        const val READY_TIMEOUT_MS = 10_000L
        const val STEADY_MS = 1_500L
        const val STOP_TIMEOUT_MS = 13_000L
        val FAILURES = listOf(RequestOutcome.FAILED, RequestOutcome.NOT_RUN, RequestOutcome.WRONG_RESPONSE)
    }
}
