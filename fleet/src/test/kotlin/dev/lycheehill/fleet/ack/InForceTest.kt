package dev.lycheehill.fleet.ack

import dev.lycheehill.fleet.FleetSim
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class InForceTest {
    @ParameterizedTest
    @CsvSource("1, 1, 31", "2, 5, 32", "3, 20, 33")
    fun `the report never counts a node below the version, and counts all nodes once the version is in force`(
        zones: Int,
        perZone: Int,
        seed: Long,
    ) {
        val sim = FleetSim(seed, zones = listOf("a", "b", "c").take(zones))
        sim.startAll(perZone)
        sim.awaitMembers(zones * perZone, limitMs = 30_000)
        val version = sim.publish()
        val asked = sim.agents.values.first()
        sim.await("in force on all", limitMs = 13_000) {
            val report = asked.inForce(version)
            val serving = sim.agents.values.count { it.foldState().version >= version }
            expectThat(report.nodesInForce).isLessThanOrEqualTo(serving)
            expectThat(report.nodes).isEqualTo(zones * perZone)
            report.nodesInForce == report.nodes && report.laggingZones.isEmpty()
        }
        expectThat(asked.inForce(version + 1).nodesInForce).isEqualTo(0)
    }

    /** Guards against a report of success without an unreachable zone, whose members are declared gone during the partition. */
    @Test
    fun `a partitioned zone is reported as lagging, also when its members are gone, and counts again after the partition`() {
        val sim = FleetSim(seed = 34)
        sim.startAll(perZone = 4)
        sim.awaitMembers(12, limitMs = 10_000)
        val partitionedAgents = sim.agents.filterKeys { it.startsWith("c-") }.values
        val asked = sim.agents.getValue("a-1")
        sim.network.partition(sim.addresses("c"))
        sim.disconnectLog(partitionedAgents)
        val version = sim.publish()
        repeat(180) {
            sim.advance(5_000)
            expectThat(asked.inForce(version).laggingZones).contains("c")
        }
        expectThat(asked.inForce(version).laggingZones).isEqualTo(setOf("c"))
        sim.network.heal()
        sim.reconnectLog(partitionedAgents)
        sim.await("in force on all", limitMs = 60_000) {
            val report = asked.inForce(version)
            report.nodes == 12 && report.nodesInForce == 12 && report.laggingZones.isEmpty()
        }
    }

    @Test
    fun `a node that cannot receive the version is reported as lagging`() {
        val sim = FleetSim(seed = 35, zones = listOf("a"))
        sim.startAll(perZone = 5)
        sim.awaitMembers(5, limitMs = 10_000)
        val slow = FleetSim.address("a-3")
        sim.network.tamper = { _, to, message -> message.takeUnless { to == slow && message.carriesRecords } }
        sim.disconnectLog(listOf(sim.agents.getValue("a-3")))
        val version = sim.publish()
        sim.advance(5_000)
        val report =
            sim.agents.getValue("a-0").let {
                it.inForce(version)
                sim.advance(2_000)
                it.inForce(version)
            }
        expectThat(report.nodesInForce).isEqualTo(4)
        expectThat(report.laggingNodes).isEqualTo(setOf("a-3"))
        expectThat(report.laggingZones).isEqualTo(setOf("a"))
    }
}
