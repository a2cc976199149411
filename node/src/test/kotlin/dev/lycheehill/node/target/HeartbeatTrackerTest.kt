package dev.lycheehill.node.target

import dev.lycheehill.core.time.FakeTimerService
import dev.lycheehill.fleet.membership.Departure
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
    private val tracker = HeartbeatTracker(target, "orders", ADDRESS, leaseMs = 20_000)

    private fun heartbeat(
        id: String = "i-1",
        startedAtMs: Long = 1_000,
        sequence: Long = 5,
        state: MemberState = MemberState.READY,
        service: String = "orders",
        address: String = ADDRESS,
    ) = TargetHeartbeat(id, startedAtMs, sequence, service, address, state, slots = 18)

    /** Guards against a late heartbeat, or one for another backend server, that replaces a newer heartbeat. */
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
    fun `a heartbeat is applied only if it is newer and for this backend server`(
        id: String,
        startedAtMs: Long,
        sequence: Long,
        service: String,
        address: String,
        expected: HeartbeatOutcome,
    ) {
        tracker.process(heartbeat())
        expectThat(tracker.process(heartbeat(id, startedAtMs, sequence, service = service, address = address))) isEqualTo expected
    }

    /**
     * Guards against two failures: a backend server that drained and became ready again stays refused, or a backend server that
     * deregistered gets calls again after a restart of the node.
     */
    @Test
    fun `a backend server serves again after draining, but not after deregistering and a restart of the node`() {
        tracker.process(heartbeat())
        tracker.process(heartbeat(sequence = 6, state = MemberState.DRAINING))
        expectThat(target.refusal()) isEqualTo "draining"
        tracker.process(heartbeat(sequence = 7))
        expectThat(target.refusal()).isNull()
        expectThat(fleet.members().getValue("n").departure).isNull()
        tracker.deregister("i-1")
        val next = LocalTarget(InMemoryFleetView(fleet, "n"), timers)
        HeartbeatTracker(next, "orders", ADDRESS, leaseMs = 20_000).process(heartbeat(sequence = 8))
        expectThat(next.refusal()) isEqualTo "draining"
    }

    /** Guards against calls to a backend server that had left before its node restarted, when the node learns of that after its start. */
    @Test
    fun `a backend server whose departure is learned late gets no further calls`() {
        tracker.processIfFirst(heartbeat(startedAtMs = 0, sequence = 0))
        tracker.onDepartureLearned()
        expectThat(target.refusal()).isNull()
        fleet.update("n") { it.copy(departure = Departure("i-1", bornMs = 1_000)) }
        tracker.onDepartureLearned()
        expectThat(target.refusal()) isEqualTo "draining"
        tracker.process(heartbeat("i-2", startedAtMs = 3_000, sequence = 1))
        expectThat(target.refusal()).isNull()
    }

    /** Guards against new calls to a backend server that has announced its shutdown, also when an older heartbeat arrives late. */
    @Test
    fun `a backend server that has announced its shutdown gets no further calls`() {
        tracker.process(heartbeat())
        expectThat(target.refusal()).isNull()
        tracker.process(heartbeat(sequence = 7, state = MemberState.DRAINING))
        expectThat(target.refusal()) isEqualTo "draining"
        tracker.process(heartbeat(sequence = 6))
        expectThat(target.refusal()) isEqualTo "draining"
        tracker.deregister("i-1")
        tracker.process(heartbeat(sequence = 8))
        expectThat(target.refusal()) isEqualTo "draining"
        tracker.process(heartbeat("i-2", startedAtMs = 3_000, sequence = 1))
        expectThat(target.refusal()).isNull()
    }

    /** Guards against a late deregistration of an earlier process that takes the current process out of service. */
    @Test
    fun `deregistration of another process changes nothing`() {
        tracker.process(heartbeat("i-2", startedAtMs = 3_000))
        expectThat(tracker.deregister("i-1")) isEqualTo false
        expectThat(target.refusal()).isNull()
    }

    /** Guards against a response to the health probe at the start of the node that replaces a heartbeat. */
    @Test
    fun `the response to the probe counts only until the first heartbeat`() {
        tracker.processIfFirst(heartbeat(startedAtMs = 0, sequence = 0))
        expectThat(target.refusal()).isNull()
        tracker.process(heartbeat(sequence = 1, state = MemberState.DRAINING))
        tracker.processIfFirst(heartbeat(startedAtMs = 0, sequence = 0))
        expectThat(target.refusal()) isEqualTo "draining"
    }

    /** Guards against a series of failed connection attempts while the backend server is down. */
    @Test
    fun `calls are refused for a short time after a failed connection attempt`() {
        tracker.process(heartbeat())
        target.onUnreachable()
        expectThat(target.refusal()) isEqualTo "backend-down"
        timers.advance(500)
        expectThat(target.refusal()).isNull()
    }

    private companion object {
        const val ADDRESS = "10.0.0.1:8080"
    }
}
