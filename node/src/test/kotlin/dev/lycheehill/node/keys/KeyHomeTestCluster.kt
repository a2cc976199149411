package dev.lycheehill.node.keys

import dev.lycheehill.calls.keys.KeyDecision
import dev.lycheehill.config.fold.FoldState
import dev.lycheehill.config.log.PatchRecord
import dev.lycheehill.config.log.RecordCodec
import dev.lycheehill.config.log.Streams
import dev.lycheehill.core.Verdict
import dev.lycheehill.core.time.FakeTimerService
import dev.lycheehill.fleet.FleetAgent
import dev.lycheehill.fleet.FleetSettings
import dev.lycheehill.fleet.link.InMemoryNetwork
import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.platformlog.PlatformLog
import dev.lycheehill.platformlog.memory.InMemoryPlatformLog
import java.util.UUID
import kotlin.random.Random

/** Cluster of nodes with a [KeyHomeManager], each in a zone of its own, and one service `orders` with a route of that name. */
internal class KeyHomeTestCluster(
    seed: Long,
) {
    class Node(
        val agent: FleetAgent,
        val homes: KeyHomeManager,
    )

    val nodes = LinkedHashMap<String, Node>()
    val log = InMemoryPlatformLog(FakeTimerService())
    private val timers = FakeTimerService()
    private val random = Random(seed)
    private val network = InMemoryNetwork(timers, Random(seed))

    // All agents run on the thread of the test, so a read must not block it.
    private val nonBlockingLog =
        object : PlatformLog by log {
            override fun read(
                stream: String,
                fromOffset: Long,
                maxRecords: Int,
                waitMs: Long,
            ) = log.read(stream, fromOffset, maxRecords, waitMs = 0)
        }

    init {
        println("seed=$seed")
        val base = FoldState.initial()
        val patch = "[services.orders]\ntimeout_ms = 500\n[routes.orders]\nweights = { orders = 1 }\n"
        log.append(Streams.CONFIG, RecordCodec.encode(PatchRecord.of(base.version, base.contentHash, patch)))
    }

    fun startAll(vararg ids: String) {
        ids.forEach(::start)
        advance(5_000)
    }

    fun advance(byMs: Long) = timers.advance(byMs)

    fun homeOf(
        viewedBy: String,
        key: String,
    ): String? = nodes.getValue(viewedBy).homes.homeOf(DOMAIN, key)

    fun begin(
        at: String,
        key: String,
    ): KeyDecision = nodes.getValue(at).homes.begin(DOMAIN, key)

    /** Begins a request with [key] at the node [at] and, if the request may run, finishes it with status 201. */
    fun run(
        at: String,
        key: String,
    ): KeyDecision {
        val decision = begin(at, key)
        if (decision is KeyDecision.Execute) {
            nodes.getValue(at).homes.finish(decision.token, Verdict.RAN, StoredResponse(201, "text/plain", "done".encodeToByteArray()))
        }
        return decision
    }

    /** Whether a request with [key] runs at the home that the node [viewedBy] knows. */
    fun runs(
        key: String,
        viewedBy: String = nodes.keys.first(),
    ): Boolean = run(homeOf(viewedBy, key)!!, key) is KeyDecision.Execute

    /** Advances the clock until the domain has active homes. Returns a home and a new key of that home. */
    fun establishedKey(): Pair<String, String> {
        homeOf(nodes.keys.first(), "x")
        advance(10_000)
        val key = newKey()
        return homeOf(nodes.keys.first(), key)!! to key
    }

    /** Returns a new key whose home is [home]. */
    fun newKeyOf(home: String): String = generateSequence { newKey() }.first { homeOf(home, it) == home }

    /** Returns a UUID of version 7 that contains the time of the fake clock. */
    fun newKey(): String {
        val high = (timers.wallMillis() shl 16) or 0x7000L or random.nextLong(0x1000)
        val low = (random.nextLong() and 0x3fffffffffffffffL) or Long.MIN_VALUE
        return UUID(high, low).toString()
    }

    fun crash(id: String) {
        val node = nodes.remove(id)!!
        node.homes.stop()
        node.agent.stop()
    }

    fun drain(id: String) = nodes.getValue(id).agent.announce(MemberState.DRAINING, "orders", SLOTS)

    fun isolate(id: String) = network.partition(listOf(address(id)))

    private fun start(id: String) {
        val agent =
            FleetAgent(
                identity = MemberRecord(id, 0, MemberState.COLD, "zone-$id", "region", "", address(id).text, "data-$id:1", 0),
                link = network.link(address(id)),
                log = nonBlockingLog,
                timers = timers,
                seeds = listOf(address("a")),
                settings = FleetSettings(inForceWaitMs = 0),
                seed = random.nextLong(),
                control = { it.run() },
                worker = { it.run() },
            )
        val homes = KeyHomeManager(agent, nonBlockingLog, timers, worker = { it.run() })
        nodes[id] = Node(agent, homes)
        homes.start()
        agent.start()
        agent.announce(MemberState.READY, "orders", SLOTS)
    }

    private fun address(id: String) = PeerAddress("10.0.0.1:${id.first().code}")

    private companion object {
        const val DOMAIN = "orders"
        const val SLOTS = 10
    }
}
