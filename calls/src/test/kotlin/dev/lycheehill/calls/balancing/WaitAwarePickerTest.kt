package dev.lycheehill.calls.balancing

import dev.lycheehill.core.time.NANOS_PER_MILLI
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull

class WaitAwarePickerTest {
    private val picker = WaitAwarePicker("a", SEED)
    private val local = TargetInfo("local", "a", "10.0.0.1:1", slots = 10)
    private val remote = TargetInfo("remote", "b", "10.0.0.2:1", slots = 10)

    private fun ms(value: Long) = value * NANOS_PER_MILLI

    private fun report(
        id: String,
        nowMs: Long,
        inFlight: Int,
        latencyMs: Long = 100,
        queued: Int = 0,
        outcome: AttemptOutcome = AttemptOutcome.SUCCESS,
    ) {
        val target = picker.find(id)!!
        picker.onStart(target, ms(nowMs))
        picker.onFinish(target, ms(nowMs), ms(latencyMs), outcome, LoadReport(inFlight, ms(latencyMs), queued, slots = 10))
    }

    private fun shareOf(
        id: String,
        nowMs: Long,
    ): Double = List(200) { picker.pick(ms(nowMs))!!.info.id }.count { it == id } / 200.0

    /** Guards against traffic between zones that saves no time. */
    @Test
    fun `the own zone is preferred while its target has free slots`() {
        picker.update(listOf(local, remote), 0)
        report("local", 1, inFlight = 5)
        report("remote", 1, inFlight = 0)
        expectThat(shareOf("local", 2)) isEqualTo 1.0
    }

    /** Guards against callers of a zone that wait while other zones have free slots. */
    @Test
    fun `calls spill to another zone when the own one is overloaded`() {
        picker.update(listOf(local, remote), 0)
        report("local", 1, inFlight = 10, queued = 15)
        report("remote", 1, inFlight = 1)
        expectThat(shareOf("remote", 2)).isGreaterThan(0.95)
    }

    /** Guards against a target that is never tried again because of an old load report. */
    @Test
    fun `an old report loses its weight`() {
        picker.update(listOf(local, remote), 0)
        report("local", 1, inFlight = 10, queued = 15)
        report("remote", 1, inFlight = 1)
        expectThat(shareOf("local", 6_000)).isGreaterThan(0.95)
    }

    /** Guards against repeated connects to a machine that is gone, each of which costs a call the connect timeout. */
    @Test
    fun `a target that accepts no connection is left out for a time`() {
        picker.update(listOf(local, remote), 0)
        val target = picker.find("local")!!
        picker.onStart(target, ms(1))
        picker.onFinish(target, ms(1), 0, AttemptOutcome.UNREACHABLE)
        expectThat(shareOf("remote", 100)) isEqualTo 1.0
        expectThat(shareOf("local", 400)).isGreaterThan(0.95)
    }

    /** Guards against a machine that was cut off while its connections stay open, so that each call on such a connection is lost. */
    @Test
    fun `a target that has not responded to several calls for long is avoided`() {
        picker.update(listOf(local, remote), 0)
        report("local", 1, inFlight = 1)
        report("remote", 1, inFlight = 1)
        repeat(3) { picker.onStart(picker.find("local")!!, ms(10)) }
        expectThat(shareOf("local", 20)).isGreaterThan(0.9)
        expectThat(shareOf("local", 600)).isLessThan(0.1)
    }

    /** Guards against a target that fails requests quickly, therefore looks idle and attracts all calls. */
    @Test
    fun `a target that fails its calls gets fewer`() {
        val twin = local.copy(id = "twin", address = "10.0.0.3:1")
        picker.update(listOf(local, twin), 0)
        repeat(20) { report("local", 1, inFlight = 1, outcome = AttemptOutcome.FAILURE) }
        repeat(20) { report("twin", 1, inFlight = 1) }
        expectThat(shareOf("local", 2)).isLessThan(0.05)
    }

    /** Guards against a node that has just started and is overloaded for seconds, because it looks idle to all callers. */
    @Test
    fun `a target whose node is slow at first does not time out the calls that other targets shed`() {
        val shares = (1L..10L).map { ColdTargetSimulation(it, callsPerSecond = 900).timedOutShare() }
        println("timed out: $shares")
        expectThat(shares.max()).isLessThan(0.05)
    }

    /** Guards against a second attempt at a target that has just refused the call. */
    @Test
    fun `a tried target is not picked again`() {
        picker.update(listOf(local, remote), 0)
        expectThat(picker.pick(0, listOf("local"))).isNotNull().get { info.id } isEqualTo "remote"
        expectThat(picker.pick(0, listOf("local", "remote"))).isNull()
    }

    private companion object {
        const val SEED = 20261204L
    }
}
