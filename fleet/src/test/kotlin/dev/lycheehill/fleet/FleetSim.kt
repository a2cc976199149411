package dev.lycheehill.fleet

import arrow.core.Either
import dev.lycheehill.config.fold.ConfigFold
import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.log.LogEntry
import dev.lycheehill.config.log.PatchRecord
import dev.lycheehill.config.log.RecordCodec
import dev.lycheehill.config.log.Streams
import dev.lycheehill.core.time.FakeTimerService
import dev.lycheehill.fleet.link.InMemoryNetwork
import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.platformlog.PlatformLog
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import kotlin.random.Random

/**
 * Simulated fleet of agents with a fake clock and an in-memory network.
 *
 * After each step, the simulation checks on each agent that the version has not decreased and that the services of all routes exist.
 */
class FleetSim(
    seed: Long,
    val zones: List<String> = listOf("a", "b", "c"),
    val log: FakeLog = FakeLog(),
    private val settings: FleetSettings = FleetSettings(inForceWaitMs = 0),
) {
    val timers = FakeTimerService()
    val network = InMemoryNetwork(timers, Random(seed))
    val agents = LinkedHashMap<String, FleetAgent>()
    private val logs = HashMap<String, DisconnectableLog>()
    private val seeds = Random(seed + 1)
    private val highestVersions = HashMap<FleetAgent, Long>()
    private var published = FoldState.initial()

    init {
        println("seed=$seed")
    }

    fun start(
        nodeId: String,
        zone: String = nodeId.substringBefore('-'),
        agentLog: PlatformLog = log,
        joinFleet: Boolean = true,
    ): FleetAgent {
        val address = address(nodeId)
        val identity = MemberRecord(nodeId, 0, MemberState.COLD, zone, "r", "shop", address.text, "data-$nodeId:1", 4)
        val agent =
            FleetAgent(
                identity = identity,
                link = network.link(address),
                log = DisconnectableLog(agentLog).also { logs[nodeId] = it },
                timers = timers,
                seeds = if (joinFleet) zones.map { address("$it-0") } else emptyList(),
                settings = settings,
                seed = seeds.nextLong(),
                control = { it.run() },
                worker = { it.run() },
            )
        agents[nodeId] = agent
        agent.start()
        return agent
    }

    fun startAll(perZone: Int) = zones.forEach { zone -> repeat(perZone) { start("$zone-$it") } }

    /** Makes the log unreachable for [targets]. */
    fun disconnectLog(targets: Collection<FleetAgent>) = targets.forEach { logs.getValue(it.self.nodeId).isDisconnected = true }

    fun reconnectLog(targets: Collection<FleetAgent>) = targets.forEach { logs.getValue(it.self.nodeId).isDisconnected = false }

    fun crash(nodeId: String) = agents.remove(nodeId)?.stop()

    fun addresses(zone: String): List<PeerAddress> = agents.keys.filter { it.startsWith("$zone-") }.map(::address)

    /** Appends a patch that adds a service and a route to the service, and returns the resulting version. */
    fun publish(name: String = "s${published.version}"): Long {
        val text = "[services.$name]\ntimeout_ms = 100\n[routes.$name]\npath_prefix = \"/$name\"\nweights = { $name = 1 }\n"
        append(RecordCodec.encode(PatchRecord.of(published.version, published.contentHash, text)))
        return published.version
    }

    fun append(payload: ByteArray) {
        val offset = log.append(Streams.CONFIG, payload)
        check(offset is Either.Right)
        published = ConfigFold.apply(published, LogEntry(offset.value, payload))
    }

    fun advance(ms: Long) {
        repeat((ms / STEP_MS).toInt()) {
            timers.advance(STEP_MS)
            agents.values.forEach(::check)
        }
    }

    /** Advances time until [condition] holds and returns the elapsed milliseconds. Fails after [limitMs]. */
    fun await(
        description: String,
        limitMs: Long,
        condition: () -> Boolean,
    ): Long {
        val startMs = timers.nowNanos()
        while (!condition()) {
            val passedMs = (timers.nowNanos() - startMs) / 1_000_000
            check(passedMs < limitMs) { "$description did not happen within $limitMs ms" }
            advance(STEP_MS)
        }
        return (timers.nowNanos() - startMs) / 1_000_000
    }

    fun awaitVersion(
        version: Long,
        limitMs: Long,
        of: Collection<FleetAgent> = agents.values,
    ) = await("version $version on all", limitMs) { of.all { it.foldState().version == version } }

    fun awaitMembers(
        count: Int,
        limitMs: Long,
        of: Collection<FleetAgent> = agents.values,
    ) = await("$count members on all", limitMs) { of.all { it.members().size == count } }

    private fun check(agent: FleetAgent) {
        val state = agent.foldState()
        expectThat(state.version).isGreaterThanOrEqualTo(highestVersions[agent] ?: 0)
        highestVersions[agent] = state.version
        val missing =
            state.content.routes.values
                .flatMap { it.weights.keys } - state.content.services.keys
        expectThat(missing).isEqualTo(emptyList())
    }

    companion object {
        const val STEP_MS = 50L

        fun address(nodeId: String) = PeerAddress("$nodeId:1")
    }
}
