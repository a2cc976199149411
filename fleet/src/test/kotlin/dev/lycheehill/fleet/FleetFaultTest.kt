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

    @Test
    fun `a crashed node is gone everywhere after probes and suspicion, and a fresh start brings it back`() {
        val sim = FleetSim(seed = 5)
        sim.startAll(perZone = 4)
        sim.awaitMembers(12, limitMs = 10_000)
        sim.crash("a-1")
        sim.awaitMembers(11, limitMs = 20_000)
        sim.start("a-1")
        sim.awaitMembers(12, limitMs = 10_000)
    }

    @Test
    fun `a leaving node is gone everywhere within the drain bound`() {
        val sim = FleetSim(seed = 6)
        sim.startAll(perZone = 10)
        sim.awaitMembers(30, limitMs = 10_000)
        val leaving = sim.agents.remove("b-3")
        leaving?.leave()
        sim.awaitMembers(29, limitMs = 3_000)
    }

    @ParameterizedTest
    @ValueSource(longs = [3_000, 60_000, 700_000])
    fun `a zone that is cut off keeps its version and its members, lags, and is whole again after the cut`(cutMs: Long) {
        val sim = FleetSim(seed = 7)
        sim.startAll(perZone = 4)
        sim.awaitMembers(12, limitMs = 10_000)
        sim.awaitVersion(sim.publish(), limitMs = 5_000)
        val cut = sim.agents.filterKeys { it.startsWith("c-") }.values
        val rest = sim.agents.values - cut.toSet()
        // The log belongs to the platform, so the cut zone must not reach it either.
        val readers = cut.toList()
        sim.network.partition(sim.addresses("c"))
        sim.cutLog(readers)
        sim.awaitVersion(sim.publish(), limitMs = 13_000, of = rest)
        sim.advance(cutMs)
        expectThat(cut.map { it.foldState().version }.distinct()).isEqualTo(listOf(1L))
        expectThat(cut.all { agent -> agent.members().keys.count { it.startsWith("c-") } == 4 }).isTrue()
        sim.network.heal()
        sim.restoreLog(readers)
        sim.awaitVersion(2, limitMs = 13_000)
        sim.awaitMembers(12, limitMs = 60_000)
    }

    @Test
    fun `records arrive from other zones when a zone cannot read the log`() {
        val sim = FleetSim(seed = 8)
        sim.startAll(perZone = 4)
        sim.awaitMembers(12, limitMs = 10_000)
        sim.cutLog(sim.agents.filterKeys { it.startsWith("c-") }.values)
        sim.awaitVersion(sim.publish(), limitMs = 13_000)
    }

    @Test
    fun `after a pause longer than the lease a node refuses, raises its incarnation and serves when a peer has answered`() {
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

    @Test
    fun `a paused node that peers cannot reach does not serve until the time limit of a cut-off node`() {
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

    @Test
    fun `all nodes that restart at once take the version back`() {
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

    @Test
    fun `updates that cross announcements of members and of the log end in equal tables`() {
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
