package dev.lycheehill.fleet

import dev.lycheehill.fleet.membership.MemberState
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class FleetFaultTest {
    /** Guards against nodes that miss a version in a small or large zone, or when messages are lost. */
    @ParameterizedTest
    @CsvSource("1, 1, 0.0", "2, 4, 0.0", "3, 10, 0.0", "4, 10, 0.1")
    fun `a version reaches all nodes`(
        seed: Long,
        perZone: Int,
        loss: Double,
    ) {
        val sim = FleetSim(seed)
        sim.network.loss = loss
        sim.startAll(perZone)
        sim.awaitMembers(3 * perZone, limitMs = 30_000)
        repeat(3) { sim.awaitVersion(sim.publish(), limitMs = 13_000) }
    }

    /** Guards against a crashed node that stays a member, and against a tombstone that keeps out the restarted node. */
    @Test
    fun `a crashed node is declared gone on all nodes, and rejoins after a restart`() {
        val sim = FleetSim(seed = 5)
        sim.startAll(perZone = 4)
        sim.awaitMembers(12, limitMs = 10_000)
        sim.crash("a-1")
        sim.awaitMembers(11, limitMs = 20_000)
        sim.start("a-1")
        sim.awaitMembers(12, limitMs = 10_000)
    }

    /** Guards against a node that stops before its departure has reached the others. */
    @Test
    fun `a leaving node is gone on all nodes within the drain limit`() {
        val sim = FleetSim(seed = 6)
        sim.startAll(perZone = 10)
        sim.awaitMembers(30, limitMs = 10_000)
        val leaving = sim.agents.remove("b-3")
        leaving?.leave()
        sim.awaitMembers(29, limitMs = 3_000)
    }

    /**
     * Guards against a partitioned zone that loses its version, declares its own members gone or does not recover. The longest
     * partition exceeds the retention of tombstones.
     */
    @ParameterizedTest
    @ValueSource(longs = [3_000, 60_000, 700_000])
    fun `a partitioned zone keeps its version and its members, and catches up after the partition`(partitionMs: Long) {
        val sim = FleetSim(seed = 7)
        sim.startAll(perZone = 4)
        sim.awaitMembers(12, limitMs = 10_000)
        sim.awaitVersion(sim.publish(), limitMs = 5_000)
        val partitionedAgents = sim.agents.filterKeys { it.startsWith("c-") }.values
        val others = sim.agents.values - partitionedAgents.toSet()
        // The log is outside the simulated network and is disconnected separately, since a partitioned zone cannot reach the log either.
        val readers = partitionedAgents.toList()
        sim.network.partition(sim.addresses("c"))
        sim.disconnectLog(readers)
        sim.awaitVersion(sim.publish(), limitMs = 13_000, of = others)
        sim.advance(partitionMs)
        expectThat(partitionedAgents.map { it.foldState().version }.distinct()).isEqualTo(listOf(1L))
        expectThat(partitionedAgents.all { agent -> agent.members().keys.count { it.startsWith("c-") } == 4 }).isTrue()
        sim.network.heal()
        sim.reconnectLog(readers)
        sim.awaitVersion(2, limitMs = 13_000)
        sim.awaitMembers(12, limitMs = 60_000)
    }

    /** Guards against zones that depend on their own readers of the log. */
    @Test
    fun `records arrive from other zones when a zone cannot read the log`() {
        val sim = FleetSim(seed = 8)
        sim.startAll(perZone = 4)
        sim.awaitMembers(12, limitMs = 10_000)
        sim.disconnectLog(sim.agents.filterKeys { it.startsWith("c-") }.values)
        sim.awaitVersion(sim.publish(), limitMs = 13_000)
    }

    /** Guards against a resumed process that serves with outdated state, after the others have declared it gone. */
    @Test
    fun `after a pause longer than the lease a node stops serving, raises its incarnation and resumes when a peer answers`() {
        val sim = FleetSim(seed = 9)
        sim.startAll(perZone = 2)
        sim.awaitMembers(6, limitMs = 10_000)
        val agent = sim.agents.getValue("a-0")
        val before = agent.self.incarnation
        val changes = mutableListOf<Boolean>()
        agent.onServingChange { changes += it }
        sim.timers.pause(byMs = 6_000)
        sim.await("serving again", limitMs = 5_000) { changes == listOf(false, true) }
        expectThat(agent.self.incarnation > before).isTrue()
        expectThat(agent.serving).isTrue()
    }

    /** Guards against an isolated node that resumes at once, or never. */
    @Test
    fun `a paused node without connection to its peers does not serve until the recovery timeout`() {
        val sim = FleetSim(seed = 10)
        sim.startAll(perZone = 2)
        sim.awaitMembers(6, limitMs = 10_000)
        sim.network.partition(listOf(FleetSim.address("a-0")))
        sim.timers.pause(byMs = 6_000)
        sim.advance(4_000)
        expectThat(sim.agents.getValue("a-0").serving).isFalse()
        sim.advance(2_000)
        expectThat(sim.agents.getValue("a-0").serving).isTrue()
    }

    /** Guards against a lost version when no node is left that holds it in memory. */
    @Test
    fun `nodes that all restart at once restore the version`() {
        val sim = FleetSim(seed = 11)
        sim.startAll(perZone = 8)
        repeat(20) { sim.publish() }
        sim.awaitVersion(20, limitMs = 13_000)
        sim.agents.keys
            .toList()
            .forEach(sim::crash)
        sim.advance(1_000)
        sim.startAll(perZone = 8)
        sim.awaitVersion(20, limitMs = 13_000)
    }

    /** Guards against member tables that stay different when delayed messages arrive out of order. */
    @Test
    fun `concurrent member and configuration updates end in equal member tables`() {
        val sim = FleetSim(seed = 12)
        sim.network.delayMs = 1L..400L
        sim.startAll(perZone = 4)
        sim.awaitMembers(12, limitMs = 30_000)
        repeat(5) {
            sim.publish()
            sim.agents.values.forEach { agent -> agent.announce(if (it % 2 == 0) MemberState.READY else MemberState.COLD, slots = it) }
            sim.advance(200)
        }
        sim.awaitVersion(5, limitMs = 13_000)
        sim.await("equal tables", limitMs = 30_000) {
            sim.agents.values
                .map { it.members() }
                .distinct()
                .size == 1
        }
    }
}
