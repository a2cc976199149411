package dev.lycheehill.node.target

import dev.lycheehill.core.time.FakeTimerService
import dev.lycheehill.fleet.membership.MemberRecord
import dev.lycheehill.fleet.membership.MemberState
import dev.lycheehill.node.view.InMemoryFleetView
import dev.lycheehill.node.view.SharedFleet
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class HeartbeatTrackerTest {
    private val timers = FakeTimerService()
    private val fleet =
        SharedFleet().apply {
            put(MemberRecord("n", 1, MemberState.COLD, "a", "r", controlAddress = "127.0.0.1:1", dataAddress = "127.0.0.1:2"))
        }
    private val target = LocalTarget(InMemoryFleetView(fleet, "n"), timers)
    private val register = HeartbeatTracker(target, "orders", ADDRESS, leaseMs = 20_000)

    private fun heartbeat(
        id: String = "i-1",
        startedAtMs: Long = 1_000,
        sequence: Long = 5,
        state: MemberState = MemberState.READY,
        service: String = "orders",
        address: String = ADDRESS,
    ) = TargetHeartbeat(id, startedAtMs, sequence, service, address, state, slots = 18)

    /** Guards against a late or foreign word that takes the place of a newer one. */
    @ParameterizedTest
    @CsvSource(
        "i-1, 1000, 6, orders, 10.0.0.1:8080, TAKEN",
        "i-1, 1000, 5, orders, 10.0.0.1:8080, LATE",
        "i-1, 1000, 4, orders, 10.0.0.1:8080, LATE",
        "i-2, 2000, 1, orders, 10.0.0.1:8080, TAKEN",
        "i-1, 2000, 1, orders, 10.0.0.1:8080, TAKEN",
        "i-0, 500, 90, orders, 10.0.0.1:8080, LATE",
        "i-0, 1000, 90, orders, 10.0.0.1:8080, LATE",
        "i-1, 1000, 6, ledger, 10.0.0.1:8080, FOREIGN",
        "i-1, 1000, 6, orders, 10.0.0.2:8080, FOREIGN",
    )
    fun `the newest word of the newest start counts`(
        id: String,
        startedAtMs: Long,
        sequence: Long,
        service: String,
        address: String,
        expected: HeartbeatOutcome,
    ) {
        register.process(heartbeat())
        expectThat(register.process(heartbeat(id, startedAtMs, sequence, service = service, address = address))) isEqualTo expected
    }

    /** Guards against a start that is refused for ever after it has taken back that it leaves, and one that is not after a restart. */
    @Test
    fun `a start that drains and is ready again serves, and one that left does not after a restart of the node`() {
        register.process(heartbeat())
        register.process(heartbeat(sequence = 6, state = MemberState.DRAINING))
        expectThat(target.refusal()) isEqualTo "draining"
        register.process(heartbeat(sequence = 7))
        expectThat(target.refusal()).isNull()
        expectThat(fleet.members().getValue("n").departure).isNull()
        register.deregister("i-1")
        val next = LocalTarget(InMemoryFleetView(fleet, "n"), timers)
        HeartbeatTracker(next, "orders", ADDRESS, leaseMs = 20_000).process(heartbeat(sequence = 8))
        expectThat(next.refusal()) isEqualTo "draining"
    }

    /** Guards against new work for a backend server that has said that it leaves, also by a heartbeat sent before. */
    @Test
    fun `a start that leaves takes no further work`() {
        register.process(heartbeat())
        expectThat(target.refusal()).isNull()
        register.process(heartbeat(sequence = 7, state = MemberState.DRAINING))
        expectThat(target.refusal()) isEqualTo "draining"
        register.process(heartbeat(sequence = 6))
        expectThat(target.refusal()) isEqualTo "draining"
        register.deregister("i-1")
        register.process(heartbeat(sequence = 8))
        expectThat(target.refusal()) isEqualTo "draining"
        register.process(heartbeat("i-2", startedAtMs = 3_000, sequence = 1))
        expectThat(target.refusal()).isNull()
    }

    /** Guards against a late withdrawal of the predecessor that takes the successor out of service. */
    @Test
    fun `a withdrawal of another start changes nothing`() {
        register.process(heartbeat("i-2", startedAtMs = 3_000))
        expectThat(register.deregister("i-1")) isEqualTo false
        expectThat(target.refusal()).isNull()
    }

    /** Guards against an answer to the question at start that overrules a heartbeat. */
    @Test
    fun `the answer to a probe counts until the first heartbeat`() {
        register.processIfFirst(heartbeat(startedAtMs = 0, sequence = 0))
        expectThat(target.refusal()).isNull()
        register.process(heartbeat(sequence = 1, state = MemberState.DRAINING))
        register.processIfFirst(heartbeat(startedAtMs = 0, sequence = 0))
        expectThat(target.refusal()) isEqualTo "draining"
    }

    /** Guards against calls to a backend server that is down, each of which fails to connect. */
    @Test
    fun `calls are refused for a short time after the backend server accepted no connection`() {
        register.process(heartbeat())
        target.onUnreachable()
        expectThat(target.refusal()) isEqualTo "backend-down"
        timers.advance(500)
        expectThat(target.refusal()).isNull()
    }

    private companion object {
        const val ADDRESS = "10.0.0.1:8080"
    }
}
