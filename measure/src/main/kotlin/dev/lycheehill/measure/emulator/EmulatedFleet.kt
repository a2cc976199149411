package dev.lycheehill.measure.emulator

import dev.lycheehill.calls.verdict.Deadline
import dev.lycheehill.core.time.FakeTimerService
import dev.lycheehill.core.time.NANOS_PER_MILLI
import java.util.SplittableRandom
import kotlin.math.ln

/** Plays one [scenario] under one [policy] in virtual time. The same seed gives the same arrivals under every policy. */
class EmulatedFleet(
    internal val scenario: EmulatedScenario,
    internal val policy: DecisionPolicy,
    seed: Long,
) {
    internal val timers = FakeTimerService()
    private val random = SplittableRandom(seed)
    private val zones = List(scenario.zones) { "zone-$it" }
    private val servers = scenario.services.flatMap(::newServers).associateBy { it.id }
    private val nodes = servers.values.associate { it.id to EmulatedNode(this, it.zone, random.nextLong()) }
    private val byService = servers.values.groupBy { it.service.name }
    private val nodesByZone = servers.values.groupBy({ it.zone }) { nodes.getValue(it.id) }
    internal val tally = ScenarioTally(scenario)

    /** Whether all machines are without power. */
    internal var isDown = false
        private set

    /** Plays the day and returns what callers got. */
    fun run(): ScenarioResult {
        zones.forEach { zone -> scenario.routes.filter { it.callsPerSecond > 0 }.forEach { arrivals(zone, it, random.split()) } }
        scenario.faults.filterIsInstance<EmulatedFault.PowerOff>().forEach(::schedule)
        timers.every(TICK_MS) { servers.values.forEach { it.tick() } }
        timers.advance(scenario.durationMs + SETTLE_MS)
        return tally.result()
    }

    internal fun server(id: String): EmulatedServer = servers.getValue(id)

    internal fun serversOf(service: String): List<EmulatedServer> = byService.getValue(service)

    // Two nodes on the way, each with about half a millisecond of its own.
    internal fun wayMs(
        from: String,
        to: String,
    ): Long = 1 + if (from == to) 0 else scenario.crossZoneLatencyMs

    internal fun slownessOf(
        service: String,
        index: Int,
        nowMs: Long,
    ): Double =
        scenario.faults
            .filterIsInstance<EmulatedFault.Slow>()
            .filter { it.service == service && index < it.servers && nowMs in it.fromMs until it.untilMs }
            .fold(1.0) { product, fault -> product * fault.factor }

    internal fun failureOf(
        service: String,
        index: Int,
        nowMs: Long,
        chance: Double,
    ): EmulatedFault? =
        scenario.faults.firstOrNull {
            nowMs in it.fromMs until it.untilMs &&
                when (it) {
                    is EmulatedFault.Failing -> it.service == service && index < it.servers && chance < it.share
                    is EmulatedFault.Shedding -> it.service == service && index < it.servers && chance < it.share
                    else -> false
                }
        }

    internal fun childCall(
        route: String,
        from: EmulatedServer,
        parent: EmulatedCall,
        end: (CallOutcome) -> Unit,
    ) {
        val child = scenario.routes.first { it.name == route }
        val now = timers.nowNanos()
        val deadline = Deadline(minOf(parent.deadline.atNanos, now + child.deadlineMs * NANOS_PER_MILLI))
        val aim = Deadline.after(child.aimMs, now)
        EmulatedCall(this, nodes.getValue(from.id), child, deadline, aim, isChild = true, end).start()
    }

    private fun newServers(service: EmulatedService): List<EmulatedServer> {
        // Which of the servers are the slow ones is left to chance.
        val turn = random.nextInt(scenario.serverSpeeds.size)
        return zones.flatMapIndexed { zoneIndex, zone ->
            List(service.serversPerZone) { index ->
                val rank = zoneIndex + index * zones.size
                EmulatedServer(
                    fleet = this,
                    service = service,
                    id = "${service.name}-$zone-$index",
                    zone = zone,
                    index = rank,
                    speed = scenario.serverSpeeds[(rank + turn) % scenario.serverSpeeds.size],
                    random = random.split(),
                )
            }
        }
    }

    private fun schedule(fault: EmulatedFault.PowerOff) {
        timers.after(fault.fromMs) { isDown = true }
        timers.after(fault.untilMs) {
            isDown = false
            servers.values.forEach { it.restart(fault.untilMs) }
            nodes.values.forEach { it.restart() }
        }
    }

    private fun arrivals(
        zone: String,
        route: EmulatedRoute,
        own: SplittableRandom,
    ) {
        val nowMs = timers.nowNanos() / NANOS_PER_MILLI
        val factor =
            scenario.faults
                .filterIsInstance<EmulatedFault.Burst>()
                .filter { it.route == route.name && nowMs in it.fromMs until it.untilMs }
                .fold(1.0) { product, burst -> product * burst.factor }
        val pauseMs = -ln(1 - own.nextDouble()) * 1_000 * zones.size / (route.callsPerSecond * factor)
        // Pauses are whole milliseconds; the rest is left to chance, so that the rate holds.
        val wholeMs = pauseMs.toLong() + if (own.nextDouble() < pauseMs - pauseMs.toLong()) 1 else 0
        timers.after(wholeMs) {
            if (timers.nowNanos() / NANOS_PER_MILLI < scenario.durationMs) {
                request(zone, route, own)
                arrivals(zone, route, own)
            }
        }
    }

    private fun request(
        zone: String,
        route: EmulatedRoute,
        own: SplittableRandom,
    ) {
        val candidates = nodesByZone.getValue(zone)
        val picks = List(2) { candidates[own.nextInt(candidates.size)] }
        EmulatedClient(this, route, picks, tally).start()
    }

    private companion object {
        const val TICK_MS = 10L

        // The longest deadline is over by then.
        const val SETTLE_MS = 5_000L
    }
}
