package dev.lycheehill.cli.demo

import dev.lycheehill.cli.ExitCode
import dev.lycheehill.cli.publish.PatchPublisher
import dev.lycheehill.cli.publish.PublishAnswer
import java.util.concurrent.CompletableFuture

/** The steps of the demo in order. Each prints one line and checks what it promises. */
class DemoScript(
    private val deployment: Deployment,
    private val mesh: DemoMesh,
    private val publisher: PatchPublisher,
    private val outage: LogOutage,
    private val tally: LoadTally,
    private val journal: DemoJournal,
) {
    private val patches = DemoPatches(deployment)

    /** Publishes the services and routes. */
    fun publishFirstVersion() {
        val answer = journal.published(publisher, patches.initial(), base = 0)
        journal.check("the first version is in force on all nodes", answer is PublishAnswer.InForce)
        journal.say("published services and routes: ${answer.text}")
    }

    /** Changes a route while calls run. */
    fun changeRoute() {
        val answer = journal.published(publisher, patches.readTimeout(READ_TIMEOUT_MS), base = version())
        journal.check("the route change is in force on all nodes", answer is PublishAnswer.InForce)
        journal.say("published a route change: ${answer.text}")
    }

    /** Publishes two patches against one base at the same time. */
    fun race() {
        val base = version()
        val texts = listOf(patches.readTimeout(RACE_TIMEOUT_MS), patches.serviceTimeout(RACE_TIMEOUT_MS))
        val answers = texts.map { text -> CompletableFuture.supplyAsync { journal.published(publisher, text, base) } }.map { it.join() }
        val accepted = answers.filterIsInstance<PublishAnswer.InForce>()
        val refused = answers.filterIsInstance<PublishAnswer.Refused>()
        journal.check("of two patches against one base one is accepted and one refused", accepted.size == 1 && refused.size == 1)
        journal.say("raced two patches against version $base: ${answers.joinToString(" | ") { it.text }}")
    }

    /** Publishes a patch with a route to a service that does not exist. */
    fun publishBadPatch() {
        val before = version()
        val answer = journal.published(publisher, patches.toMissingService(), before)
        journal.check("a bad patch is refused and changes nothing", answer is PublishAnswer.Refused && version() == before)
        journal.say("published a bad patch: ${answer.text}")
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
        val before = version()
        val sentBefore = tally.count(RequestOutcome.SUCCEEDED)
        outage.set(true)
        val text = patches.readTimeout(OUTAGE_TIMEOUT_MS)
        val during = journal.published(publisher, text, before)
        Thread.sleep(OUTAGE_MS)
        val succeeded = tally.count(RequestOutcome.SUCCEEDED) - sentBefore
        outage.set(false)
        journal.check("during a log outage no patch is reported as accepted", during.exitCode in OUTAGE_EXIT_CODES)
        journal.check("calls continue during a log outage", succeeded > 0 && version() == before)
        journal.say("cut the log off: $succeeded requests succeeded meanwhile; a patch was ${during.text}")
        val after = journal.published(publisher, text, before)
        journal.check("the patch is accepted after the outage", after is PublishAnswer.InForce)
        journal.say("log is back, same patch again: ${after.text}")
    }

    private fun version(): Long = mesh.live.maxOf { it.agent.foldState().version }

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
