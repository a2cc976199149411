package dev.lycheehill.fleet.messenger

import arrow.core.Either
import dev.lycheehill.core.Verdict
import dev.lycheehill.fleet.FleetSim
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

class MessengerTest {
    /** Guards against copies of a broadcast that are delivered again after the nodes have forgotten its id. */
    @Test
    fun `a broadcast reaches each node exactly once, also when copies arrive later`() {
        val sim = FleetSim(seed = 41)
        sim.startAll(perZone = 7)
        sim.awaitMembers(21, limitMs = 10_000)
        val received = mutableMapOf<String, Int>()
        sim.agents.forEach { (id, agent) -> agent.messenger.onBroadcast("crash") { received.merge(id, it.size, Int::plus) } }
        sim.agents
            .getValue("b-2")
            .messenger
            .broadcast("crash", ByteArray(1), expiresInMs = 30_000)
        sim.advance(200_000)
        expectThat(received.toMap()).isEqualTo(sim.agents.keys.associateWith { 1 })
        expectThat(
            sim.agents
                .getValue("a-0")
                .messenger
                .broadcast("crash", ByteArray(FleetMessenger.MAX_BROADCAST_BYTES + 1)),
        ).isFalse()
    }

    @ParameterizedTest
    @CsvSource(
        "a-1, echo,    false, ,             ",
        "a-0, echo,    false, ,             ",
        "a-1, absent,  false, REFUSED,      MAY_HAVE_RUN",
        "a-1, failing, false, REFUSED,      MAY_HAVE_RUN",
        "x-9, echo,    false, UNKNOWN_NODE, NOT_RUN",
        "a-1, echo,    true,  TIMEOUT,      MAY_HAVE_RUN",
    )
    fun `a request ends with the response or with a typed error`(
        nodeId: String,
        topic: String,
        isPartitioned: Boolean,
        error: MessengerError.Kind?,
        verdict: Verdict?,
    ) {
        val sim = FleetSim(seed = 42, zones = listOf("a"))
        sim.startAll(perZone = 2)
        sim.awaitMembers(2, limitMs = 10_000)
        sim.agents.values.forEach {
            it.messenger.onRequest("echo") { _, bytes -> bytes }
            it.messenger.onRequest("failing") { _, _ -> error("fault in a handler") }
        }
        if (isPartitioned) sim.network.partition(listOf(FleetSim.address("a-1")))
        val result =
            sim.agents
                .getValue("a-0")
                .messenger
                .request(nodeId, topic, byteArrayOf(7))
        sim.advance(1_500)
        val expected = if (error == null || verdict == null) null else MessengerError(error, verdict)
        expectThat(result.get().fold({ it }, { null })).isEqualTo(expected)
        if (expected == null) expectThat((result.get() as Either.Right).value.toList()).isEqualTo(listOf<Byte>(7))
    }
}
