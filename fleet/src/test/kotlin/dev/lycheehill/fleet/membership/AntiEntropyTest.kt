package dev.lycheehill.fleet.membership

import dev.lycheehill.fleet.FleetSim
import dev.lycheehill.fleet.message.PeerMessage
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class AntiEntropyTest {
    /** Guards against member tables that stay different after gossip messages were lost. */
    @Test
    fun `changes whose gossip is lost arrive by anti-entropy`() {
        val sim = FleetSim(seed = 51)
        sim.startAll(perZone = 4)
        sim.awaitMembers(12, limitMs = 10_000)
        sim.network.tamper = { _, _, message -> message.withoutGossip() }
        sim.agents.getValue("b-1").announce(MemberState.READY, slots = 7)
        sim.await("the change on all nodes", limitMs = 60_000) { sim.agents.values.all { it.members()["b-1"]?.slots == 7 } }
        sim.crash("b-2")
        sim.awaitMembers(11, limitMs = 120_000)
    }

    /** Guards against repeated transfers of records that both nodes have, which would cost traffic in an idle fleet. */
    @Test
    fun `equal tables exchange no records`() {
        val sim = FleetSim(seed = 52)
        sim.startAll(perZone = 4)
        sim.awaitMembers(12, limitMs = 10_000)
        sim.advance(30_000)
        var records = 0
        sim.network.tamper = { _, _, message -> message.also { records += it.memberRecords().size } }
        sim.advance(60_000)
        expectThat(records).isEqualTo(0)
    }

    private fun PeerMessage.withoutGossip(): PeerMessage? =
        when (this) {
            is PeerMessage.Gossip -> null
            is PeerMessage.Ping -> copy(members = emptyList())
            is PeerMessage.Ack -> copy(members = emptyList())
            is PeerMessage.IndirectPing -> copy(members = emptyList())
            else -> this
        }

    private fun PeerMessage.memberRecords() =
        when (this) {
            is PeerMessage.Gossip -> members
            is PeerMessage.Ping -> members
            is PeerMessage.Ack -> members
            is PeerMessage.MemberSync -> members
            else -> emptyList()
        }
}
