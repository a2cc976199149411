package dev.lycheehill.measure.emulator.store

import arrow.core.left
import arrow.core.right
import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.core.time.FakeTimerService
import dev.lycheehill.core.time.nowMs
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.fleet.store.InMemoryPeerNetwork
import dev.lycheehill.fleet.store.StoreFleet
import dev.lycheehill.fleet.store.VersionedContent
import dev.lycheehill.platformlog.keyed.KeyedTopic
import dev.lycheehill.platformlog.memory.InMemoryKeyedStore
import dev.lycheehill.platformlog.memory.StoreAccess
import kotlin.random.Random

/** Emulates, in virtual time, a fleet of nodes whose store comes back from an older copy. The nodes run the code of the product. */
class RestoreEmulation(
    private val scenario: RestoreScenario,
    private val seed: Long,
) {
    private val random = Random(seed)
    private val timers = FakeTimerService()
    private val store = InMemoryKeyedStore(timers)
    private val network = InMemoryPeerNetwork(timers)
    private val nodes = ArrayList<Node>()
    private var version = 0L

    private class Node(
        val id: String,
        val access: StoreAccess,
        val fleet: StoreFleet,
    )

    /** Runs the emulation. */
    fun run(): RestoreResult {
        repeat(scenario.nodes) { start() }
        publish()
        timers.advance(SETTLING_MS + random.nextLong(SETTLING_MS))
        val copy = store.copy()
        repeat(scenario.startedNodes) { start() }
        repeat(scenario.lostVersions) {
            publish()
            timers.advance(random.nextLong(MAX_CHANGE_INTERVAL_MS))
        }
        timers.advance(SETTLING_MS / 2)
        nodes.forEach { it.access.isUnresponsive = true }
        timers.advance(scenario.outageMs)
        store.restore(copy)
        returnStore()
        return observe()
    }

    private fun returnStore() {
        val cutNodes = nodes.shuffled(random).take((nodes.size * scenario.cutShare).toInt())
        (nodes - cutNodes.toSet()).forEach { it.access.isUnresponsive = false }
        timers.after(scenario.cutMs) { cutNodes.forEach { it.access.isUnresponsive = false } }
        write(version)
        timers.after(random.nextLong(MAX_CHANGE_DELAY_MS), ::publish)
    }

    private fun observe(): RestoreResult {
        val returnedAtMs = timers.nowMs()
        val callsBefore = store.callCount
        val newVersion = version + 1
        var publishedAtMs: Long? = null
        var inForceMs: Long? = null
        var recordsBackMs: Long? = null
        repeat((OBSERVED_MS / STEP_MS).toInt()) {
            timers.advance(STEP_MS)
            val now = timers.nowMs()
            if (publishedAtMs == null && version >= newVersion) publishedAtMs = now
            if (inForceMs == null && nodes.all { it.fleet.foldState().version >= newVersion }) inForceMs = now - (publishedAtMs ?: now)
            if (recordsBackMs == null && nodes.all(::isStored)) recordsBackMs = now - returnedAtMs
        }
        return RestoreResult(inForceMs, recordsBackMs, store.callCount - callsBefore)
    }

    private fun isStored(node: Node) = store.valueOf(KeyedTopic.MEMBERS, node.id) != null

    private fun publish() = write(++version)

    private fun write(published: Long) {
        store.write(KeyedTopic.CONFIGURATION, "config", "$published".encodeToByteArray())
    }

    private fun start() {
        val id = "n%05d".format(nodes.size)
        val access = StoreAccess()
        val identity =
            MemberRecord(
                nodeId = id,
                incarnation = 1,
                state = MemberState.COLD,
                zone = scenario.zones[nodes.size % scenario.zones.size],
                region = "r",
                controlAddress = "$id:1",
                dataAddress = "$id:2",
                bootId = nodes.size.toLong(),
            )
        val fleet = StoreFleet(identity, store.newClient(access), ::decode, network.newChannel(id), timers, seed = seed * 31 + nodes.size)
        nodes.add(Node(id, access, fleet))
        fleet.start()
    }

    private fun decode(
        key: String,
        value: ByteArray,
    ) = value.decodeToString().toLongOrNull()?.let { VersionedContent(it, ConfigContent()).right() } ?: "no version under $key".left()

    private companion object {
        const val SETTLING_MS = 5_000L
        const val MAX_CHANGE_INTERVAL_MS = 2_000L

        // The first retries of the nodes fall into this time after the return.
        const val MAX_CHANGE_DELAY_MS = 700L

        // The platform's time without a fault after which its limits hold, and its limit for a configuration to take effect.
        const val OBSERVED_MS = 3_000L + 2_000L
        const val STEP_MS = 20L
    }
}
