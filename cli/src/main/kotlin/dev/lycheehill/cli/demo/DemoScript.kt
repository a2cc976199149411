package dev.lycheehill.cli.demo

import dev.lycheehill.cli.ExitCode
import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.platformlog.publish.PatchBase
import dev.lycheehill.platformlog.publish.PublishResult
import dev.lycheehill.platformlog.publish.Publisher
import java.util.concurrent.CompletableFuture

/** The steps of the demo in order. Each prints one line and checks what it promises. */
class DemoScript(
    private val deployment: Deployment,
    private val mesh: DemoMesh,
    private val publisher: Publisher,
    private val log: DemoPlatformLog,
    private val tally: LoadTally,
    private val journal: DemoRecorder,
) {
    private val patches = DemoPatches(deployment)

    /** Publishes the services and routes. */
    fun publishFirstVersion() {
        val answer = journal.published(publisher, patches.initial(), base())
        journal.check("the first version is in force on all nodes", answer is PublishResult.InForce)
        journal.say("published services and routes: ${answer.message}")
    }

    /** Changes a route while calls run. */
    fun changeRoute() {
        val answer = journal.published(publisher, patches.readTimeout(READ_TIMEOUT_MS), base())
        journal.check("the route change is in force on all nodes", answer is PublishResult.InForce)
        journal.say("published a route change: ${answer.message}")
    }

    /** Publishes two patches against one base at the same time. */
    fun race() {
        val base = base()
        val texts = listOf(patches.readTimeout(RACE_TIMEOUT_MS), patches.serviceTimeout(RACE_TIMEOUT_MS))
        val answers = texts.map { text -> CompletableFuture.supplyAsync { journal.published(publisher, text, base) } }.map { it.join() }
        val accepted = answers.filterIsInstance<PublishResult.InForce>()
        val refused = answers.filterIsInstance<PublishResult.Refused>()
        journal.check("of two patches against one base one is accepted and one refused", accepted.size == 1 && refused.size == 1)
        journal.say("raced two patches against version ${base.version}: ${answers.joinToString(" | ") { it.message }}")
    }

    /** Publishes a patch with a route to a service that does not exist. */
    fun publishBadPatch() {
        val before = version()
        val answer = journal.published(publisher, patches.toMissingService(), base())
        journal.check("a bad patch is refused and changes nothing", answer is PublishResult.Refused && version() == before)
        journal.say("published a bad patch: ${answer.message}")
    }

    /** Drains one target and checks that it gets no new work after the bound and that nothing is cut. */
    fun drainTarget() {
        val instance = mesh.live.last { it.service == deployment.services.keys.first() }
        val cancelledBefore = instance.cancelledOrders()
        journal.check("the node accepts the drain", instance.drain())
        Thread.sleep(DRAIN_BOUND_MS)
        val afterBound = instance.startedRuns()
        Thread.sleep(DRAIN_WATCH_MS)
        val late = instance.startedRuns() - afterBound
        val cut = instance.cancelledOrders() - cancelledBefore
        journal.check("a draining target gets no new work after 3 s", late == 0)
        journal.check("a drain cuts no call", cut == 0)
        journal.say("drained ${instance.nodeId}: $late new calls after 3 s, $cut calls cut")
    }

    /** Ends one instance at once and starts another in its place. */
    fun killNode() {
        val victim = mesh.live.first { it.service == deployment.orders.first().service }
        mesh.kill(victim)
        journal.say("killed ${victim.nodeId} in zone ${victim.zone} with its backend server")
        Thread.sleep(KILL_WATCH_MS)
        val replacement = mesh.add("${victim.nodeId}-new", victim.zone, victim.service)
        val caughtUp = DemoMesh.await(JOIN_TIMEOUT_MS) { replacement.agent.foldState().version == version() }
        journal.check("a new instance takes over the version in force", caughtUp)
        journal.say("started ${replacement.nodeId}: it serves version ${replacement.agent.foldState().version}")
    }

    /** Cuts the log off for some seconds and publishes meanwhile. */
    fun cutLog() {
        val before = base()
        val sentBefore = tally.count(RequestOutcome.SUCCEEDED)
        log.setOutage(true)
        val text = patches.readTimeout(OUTAGE_TIMEOUT_MS)
        val during = journal.published(publisher, text, base = null)
        Thread.sleep(OUTAGE_MS)
        val succeeded = tally.count(RequestOutcome.SUCCEEDED) - sentBefore
        log.setOutage(false)
        journal.check("during a log outage no patch is reported as accepted", during.exitCode in OUTAGE_EXIT_CODES)
        journal.check("calls continue during a log outage", succeeded > 0 && version() == before.version)
        journal.say("cut the log off: $succeeded requests succeeded meanwhile; a patch was ${during.message}")
        val after = journal.published(publisher, text, before)
        journal.check("the patch is accepted after the outage", after is PublishResult.InForce)
        journal.say("log is back, same patch again: ${after.message}")
    }

    private fun version(): Long = newest().version

    private fun base(): PatchBase = newest().let { PatchBase(it.version, it.contentHash) }

    private fun newest(): FoldState = mesh.live.map { it.agent.foldState() }.maxBy { it.version }

    private companion object {
        const val READ_TIMEOUT_MS = 1_800
        const val RACE_TIMEOUT_MS = 1_900
        const val OUTAGE_TIMEOUT_MS = 1_700
        const val DRAIN_BOUND_MS = 3_000L
        const val DRAIN_WATCH_MS = 1_500L
        const val KILL_WATCH_MS = 3_000L
        const val JOIN_TIMEOUT_MS = 5_000L
        const val OUTAGE_MS = 3_000L
        val OUTAGE_EXIT_CODES = setOf(ExitCode.REFUSED, ExitCode.NOT_KNOWN)
    }
}
