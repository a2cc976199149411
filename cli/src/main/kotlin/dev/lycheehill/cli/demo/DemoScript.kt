package dev.lycheehill.cli.demo

import dev.lycheehill.cli.ExitCode
import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.platformlog.publish.PatchBase
import dev.lycheehill.platformlog.publish.PublishResult
import dev.lycheehill.platformlog.publish.Publisher
import java.util.concurrent.CompletableFuture

/** Steps of the demo, in order. Each step prints what it did and checks the guarantee that it demonstrates. */
class DemoScript(
    private val deployment: Deployment,
    private val mesh: DemoMesh,
    private val publisher: Publisher,
    private val log: DemoPlatformLog,
    private val tally: LoadTally,
    private val recorder: DemoRecorder,
) {
    private val patches = DemoPatches(deployment)

    /** Publishes all services and routes. */
    fun publishFirstVersion() {
        val result = recorder.publish(publisher, patches.initial(), base())
        recorder.check("the first version is in force on all nodes", result is PublishResult.InForce)
        recorder.print("published services and routes: ${result.message}")
    }

    /** Publishes a route change while calls run. */
    fun changeRoute() {
        val result = recorder.publish(publisher, patches.readTimeout(READ_TIMEOUT_MS), base())
        recorder.check("the route change is in force on all nodes", result is PublishResult.InForce)
        recorder.print("published a route change: ${result.message}")
    }

    /** Publishes two patches against the same base version concurrently. */
    fun publishConcurrently() {
        val base = base()
        val texts = listOf(patches.readTimeout(RACE_TIMEOUT_MS), patches.serviceTimeout(RACE_TIMEOUT_MS))
        val results = texts.map { text -> CompletableFuture.supplyAsync { recorder.publish(publisher, text, base) } }.map { it.join() }
        val accepted = results.filterIsInstance<PublishResult.InForce>()
        val refused = results.filterIsInstance<PublishResult.Refused>()
        recorder.check("of two concurrent patches one is accepted and one refused", accepted.size == 1 && refused.size == 1)
        recorder.print("published two patches at once against version ${base.version}: ${results.joinToString(" | ") { it.message }}")
    }

    /** Publishes an invalid patch: a route to a service that does not exist. */
    fun publishBadPatch() {
        val before = version()
        val result = recorder.publish(publisher, patches.toMissingService(), base())
        recorder.check("an invalid patch is refused and changes nothing", result is PublishResult.Refused && version() == before)
        recorder.print("published an invalid patch: ${result.message}")
    }

    /** Drains one target. Checks that the target gets no new calls after 3 s and that no order is cancelled. */
    fun drainTarget() {
        val instance = mesh.live.last { it.service == deployment.services.keys.first() }
        val cancelledBefore = instance.cancelledOrderCount()
        recorder.check("the node accepts the drain", instance.drain())
        Thread.sleep(DRAIN_BOUND_MS)
        val runsAtBound = instance.startedRuns()
        Thread.sleep(DRAIN_WATCH_MS)
        val newCalls = instance.startedRuns() - runsAtBound
        val cancelled = instance.cancelledOrderCount() - cancelledBefore
        recorder.check("a draining target gets no new calls after 3 s", newCalls == 0)
        recorder.check("a drain cancels no order", cancelled == 0)
        recorder.print("drained ${instance.nodeId}: $newCalls new calls after 3 s, $cancelled orders cancelled")
    }

    /** Kills one instance and starts a replacement. */
    fun killNode() {
        val killed = mesh.live.first { it.service == deployment.orders.first().service }
        mesh.kill(killed)
        recorder.print("killed ${killed.nodeId} in zone ${killed.zone} with its backend server")
        Thread.sleep(KILL_WATCH_MS)
        val replacement = mesh.add("${killed.nodeId}-new", killed.zone, killed.service)
        val caughtUp = DemoMesh.await(JOIN_TIMEOUT_MS) { replacement.agent.foldState().version == version() }
        recorder.check("a new instance reaches the version in force", caughtUp)
        recorder.print("started ${replacement.nodeId}: it serves version ${replacement.agent.foldState().version}")
    }

    /** Simulates an outage of the log and publishes a patch during and after the outage. */
    fun runLogOutage() {
        val before = base()
        val succeededBefore = tally.count(RequestOutcome.SUCCEEDED)
        log.setOutage(true)
        val text = patches.readTimeout(OUTAGE_TIMEOUT_MS)
        val during = recorder.publish(publisher, text, base = null)
        Thread.sleep(OUTAGE_MS)
        val succeeded = tally.count(RequestOutcome.SUCCEEDED) - succeededBefore
        log.setOutage(false)
        recorder.check("during a log outage no patch is reported as accepted", during.exitCode in OUTAGE_EXIT_CODES)
        recorder.check("calls continue during a log outage", succeeded > 0 && version() == before.version)
        recorder.print("log outage: $succeeded requests succeeded meanwhile; a patch was ${during.message}")
        val after = recorder.publish(publisher, text, before)
        recorder.check("the patch is accepted after the outage", after is PublishResult.InForce)
        recorder.print("log outage over, published the same patch again: ${after.message}")
    }

    private fun version(): Long = newestState().version

    private fun base(): PatchBase = newestState().let { PatchBase(it.version, it.contentHash) }

    private fun newestState(): FoldState = mesh.live.map { it.agent.foldState() }.maxBy { it.version }

    private companion object {
        // Timeouts that the patches set.
        const val READ_TIMEOUT_MS = 1_800
        const val RACE_TIMEOUT_MS = 1_900
        const val OUTAGE_TIMEOUT_MS = 1_700

        // Durations of the steps.
        const val DRAIN_BOUND_MS = 3_000L
        const val DRAIN_WATCH_MS = 1_500L
        const val KILL_WATCH_MS = 3_000L
        const val JOIN_TIMEOUT_MS = 5_000L
        const val OUTAGE_MS = 3_000L
        val OUTAGE_EXIT_CODES = setOf(ExitCode.REFUSED, ExitCode.NOT_KNOWN)
    }
}
