package dev.lycheehill.measure.emulator

import dev.lycheehill.calls.verdict.Deadline
import dev.lycheehill.core.time.FakeTimerService
import dev.lycheehill.core.time.NANOS_PER_MILLI
import java.util.SplittableRandom
import kotlin.math.ln

/**
 * Simulates one [scenario] under one [policy] in virtual time. Clients send the same requests at the same times under every
 * policy, as long as the seed is the same.
 */
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
    private val serversByService = servers.values.groupBy { it.service.name }
    private val nodesByZone = servers.values.groupBy({ it.zone }) { nodes.getValue(it.id) }
    internal val tally = ScenarioTally(scenario)

    /** Whether a power failure has stopped all nodes and backend servers. */
    internal var isDown = false
        private set

    /** Runs the simulation to its end and returns its result. */
    fun run(): ScenarioResult {
        zones.forEach { zone -> scenario.routes.filter { it.callsPerSecond > 0 }.forEach { scheduleArrivals(zone, it, random.split()) } }
        scenario.faults.filterIsInstance<EmulatedFault.PowerOff>().forEach(::schedulePowerOff)
        timers.every(TICK_PERIOD_MS) { servers.values.forEach { it.tick() } }
        timers.advance(scenario.durationMs + SETTLE_MS)
        return tally.result()
    }

    internal fun server(id: String): EmulatedServer = servers.getValue(id)

    internal fun serversOf(service: String): List<EmulatedServer> = serversByService.getValue(service)

    // The call passes through two nodes, each of which adds about half a millisecond.
    internal fun oneWayLatencyMs(
        from: String,
        to: String,
    ): Long = 1 + if (from == to) 0 else scenario.crossZoneLatencyMs

    internal fun slowFactorOf(
        service: String,
        index: Int,
        nowMs: Long,
    ): Double =
        scenario.faults
            .filterIsInstance<EmulatedFault.Slow>()
            .filter { it.service == service && index < it.servers && nowMs in it.fromMs until it.untilMs }
            .fold(1.0) { product, fault -> product * fault.factor }

    /** Limit that a backend server states at [nowMs], in requests a second; null for none. */
    internal fun statedLimitOf(
        service: String,
        index: Int,
        nowMs: Long,
    ): Double? =
        scenario.faults
            .filterIsInstance<EmulatedFault.Limited>()
            .firstOrNull { it.service == service && index < it.servers && nowMs in it.fromMs until it.untilMs }
            ?.requestsPerSecond

    internal fun faultOf(
        service: String,
        index: Int,
        nowMs: Long,
        randomValue: Double,
    ): EmulatedFault? =
        scenario.faults.firstOrNull {
            nowMs in it.fromMs until it.untilMs &&
                when (it) {
                    is EmulatedFault.Failing -> it.service == service && index < it.servers && randomValue < it.share
                    is EmulatedFault.Shedding -> it.service == service && index < it.servers && randomValue < it.share
                    else -> false
                }
        }

    internal fun startChildCall(
        route: String,
        from: EmulatedServer,
        parent: EmulatedCall,
        onEnd: (CallOutcome) -> Unit,
    ) {
        val child = scenario.routes.first { it.name == route }
        val now = timers.nowNanos()
        val deadline = Deadline(minOf(parent.deadline.atNanos, now + child.deadlineMs * NANOS_PER_MILLI))
        val aim = Deadline.after(child.aimMs, now)
        EmulatedCall(this, nodes.getValue(from.id), child, deadline, aim, isChild = true, onEnd).start()
    }

    private fun newServers(service: EmulatedService): List<EmulatedServer> {
        // The seed decides which servers are the slow ones.
        val speedOffset = random.nextInt(scenario.serverSpeeds.size)
        return zones.flatMapIndexed { zoneIndex, zone ->
            List(service.serversPerZone) { index ->
                val serverIndex = zoneIndex + index * zones.size
                EmulatedServer(
                    fleet = this,
                    service = service,
                    id = "${service.name}-$zone-$index",
                    zone = zone,
                    index = serverIndex,
                    speed = scenario.serverSpeeds[(serverIndex + speedOffset) % scenario.serverSpeeds.size],
                    random = random.split(),
                )
            }
        }
    }

    private fun schedulePowerOff(fault: EmulatedFault.PowerOff) {
        timers.after(fault.fromMs) { isDown = true }
        timers.after(fault.untilMs) {
            isDown = false
            servers.values.forEach { it.restart(fault.untilMs) }
            nodes.values.forEach { it.restart() }
        }
    }

    private fun scheduleArrivals(
        zone: String,
        route: EmulatedRoute,
        routeRandom: SplittableRandom,
    ) {
        val nowMs = timers.nowNanos() / NANOS_PER_MILLI
        val factor =
            scenario.faults
                .filterIsInstance<EmulatedFault.Burst>()
                .filter { it.route == route.name && nowMs in it.fromMs until it.untilMs }
                .fold(1.0) { product, burst -> product * burst.factor }
        val gapMs = -ln(1 - routeRandom.nextDouble()) * 1_000 * zones.size / (route.callsPerSecond * factor)
        // Timers have a resolution of 1 ms. Rounding up at random, in proportion to the remainder, keeps the mean rate.
        val wholeGapMs = gapMs.toLong() + if (routeRandom.nextDouble() < gapMs - gapMs.toLong()) 1 else 0
        timers.after(wholeGapMs) {
            if (timers.nowNanos() / NANOS_PER_MILLI < scenario.durationMs) {
                sendRequest(zone, route, routeRandom)
                scheduleArrivals(zone, route, routeRandom)
            }
        }
    }

    private fun sendRequest(
        zone: String,
        route: EmulatedRoute,
        routeRandom: SplittableRandom,
    ) {
        val candidates = nodesByZone.getValue(zone)
        val clientNodes = List(2) { candidates[routeRandom.nextInt(candidates.size)] }
        EmulatedClient(this, route, clientNodes, tally).start()
    }

    private companion object {
        const val TICK_PERIOD_MS = 10L

        // Longer than any deadline, so that all requests have ended.
        const val SETTLE_MS = 5_000L
    }
}
