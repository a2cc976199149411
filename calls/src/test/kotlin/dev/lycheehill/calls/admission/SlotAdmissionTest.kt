package dev.lycheehill.calls.admission

import dev.lycheehill.calls.verdict.Deadline
import dev.lycheehill.core.time.NANOS_PER_MILLI
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan

class SlotAdmissionTest {
    private val started = ArrayList<String>()
    private val dropped = ArrayList<String>()
    private val admission = SlotAdmission(SlotAdmissionSettings(slots = 2, initialEstimateMs = 100))

    private inner class Listener(
        private val name: String,
    ) : AdmissionListener {
        override fun onStart(
            call: AdmissionCall,
            nowNanos: Long,
        ) {
            started.add(name)
        }

        override fun onDropped(
            call: AdmissionCall,
            rejection: AdmissionResult.Rejected,
        ) {
            dropped.add(name)
        }
    }

    private fun call(
        name: String,
        priority: CallPriority = CallPriority.NORMAL,
        aimMs: Long = 10_000,
        deadlineMs: Long = 20_000,
        acceptsLate: Boolean = true,
        isChild: Boolean = false,
        nowMs: Long = 0,
    ) = AdmissionCall(
        route = "r",
        priority = priority,
        cost = CallCost.LEARNED,
        sizeBytes = 0,
        deadline = Deadline.after(deadlineMs, ms(nowMs)),
        listener = Listener(name),
        aim = Deadline.after(aimMs, ms(nowMs)),
        acceptsLate = acceptsLate,
        isChild = isChild,
    )

    private fun ms(value: Long) = value * NANOS_PER_MILLI

    private fun fill(): List<AdmissionCall> =
        List(2) { call("running-$it") }.onEach { expectThat(admission.offer(it, 0)) isEqualTo AdmissionResult.Admitted }

    /** Guards against more calls at a backend server than it has slots; some never answer a call that they cannot queue. */
    @Test
    fun `no more calls run than there are slots`() {
        fill()
        expectThat(admission.offer(call("third"), 0)) isEqualTo AdmissionResult.Queued
        expectThat(admission.inFlight) isEqualTo 2
    }

    /** Guards against a parent that waits behind new calls of its own priority, and against urgent calls behind any others. */
    @Test
    fun `waiting calls start in order of urgency`() {
        val running = fill()
        admission.offer(call("low", CallPriority.LOW), 0)
        admission.offer(call("normal"), 0)
        admission.offer(call("high", CallPriority.HIGH), 0)
        admission.offer(call("low-child", CallPriority.LOW, isChild = true), 0)
        running.forEach { admission.onFinish(it, ms(10), succeeded = true) }
        admission.setSlots(4, ms(11))
        expectThat(started).containsExactly("high", "normal", "low-child", "low")
    }

    /** Guards against calls that are held although they cannot end in time, when another target could take them. */
    @Test
    fun `a call that would end after its aim is refused at once if it accepts no late answer`() {
        fill()
        repeat(4) { admission.offer(call("ahead-$it"), 0) }
        val result = admission.offer(call("tight", aimMs = 150, acceptsLate = false), 0)
        expectThat(result).isA<AdmissionResult.Rejected>().get { reason } isEqualTo RejectReason.QUEUE_TIME
        expectThat(admission.queued) isEqualTo 4
    }

    /** Guards against late work that delays calls which can still end in time. */
    @Test
    fun `a late call starts after those that are in time, whatever its priority`() {
        val running = fill()
        repeat(2) { admission.offer(call("ahead-$it"), 0) }
        admission.offer(call("late", CallPriority.HIGH, aimMs = 20, deadlineMs = 5_000), 0)
        admission.offer(call("in-time", CallPriority.LOW), 0)
        running.forEach { admission.onFinish(it, ms(10), succeeded = true) }
        expectThat(started).containsExactly("ahead-0", "ahead-1")
        admission.setSlots(3, ms(11))
        expectThat(started.last()) isEqualTo "in-time"
    }

    /** Guards against a queue whose length does not follow what the backend server gets done. */
    @Test
    fun `in overload the calls that are admitted end within their aim`() {
        val load = SlotAdmissionSimulation(slots = 4, runMs = 40, aimMs = 200, callsPerSecond = 150, seed = 20261204)
        val outcome = load.run(20_000)
        println("seed=20261204 $outcome")
        expectThat(outcome.inTime.toDouble() / outcome.finished).isGreaterThan(0.95)
        expectThat(outcome.finished.toDouble() / load.capacity(20_000)).isGreaterThan(0.9)
        expectThat(outcome.longestHeldBeforeRefusalMs).isLessThan(200)
    }

    /** Guards against answers that are in time at the target's node and late at the caller. */
    @Test
    fun `in overload the answers of admitted calls reach their callers within the aim`() {
        val load = SlotAdmissionSimulation(slots = 9, runMs = 60, aimMs = 200, callsPerSecond = 400, seed = 20261204, responseReturnMs = 12)
        val outcome = load.run(20_000)
        println("seed=20261204 $outcome")
        expectThat(outcome.inTime.toDouble() / outcome.finished).isGreaterThan(0.95)
        expectThat(outcome.finished.toDouble() / load.capacity(20_000)).isGreaterThan(0.9)
    }

    /** Guards against a queue that fits the mean duration while a few calls last many times longer. */
    @Test
    fun `in overload most answers are in time although durations have a long tail`() {
        val load =
            SlotAdmissionSimulation(
                slots = 9,
                runMs = 60,
                aimMs = 200,
                callsPerSecond = 400,
                seed = 20261204,
                responseReturnMs = 12,
                hasLongTail = true,
            )
        val outcome = load.run(20_000)
        println("seed=20261204 long tail $outcome")
        // Without any wait, 0.956 of the runs would end in time.
        expectThat(outcome.inTime.toDouble() / outcome.finished).isGreaterThan(0.9)
        expectThat(outcome.finished.toDouble() / load.capacity(20_000)).isGreaterThan(0.9)
    }

    /** Guards against hints after which the callers come back to the same crowd. */
    @Test
    fun `in overload few callers come back and are refused again`() {
        val load =
            SlotAdmissionSimulation(
                slots = 9,
                runMs = 60,
                aimMs = 200,
                callsPerSecond = 400,
                seed = 20261204,
                comesBack = true,
                deadlineMs = 500,
            )
        val outcome = load.run(20_000)
        println("seed=20261204 $outcome")
        expectThat(outcome.refused).isGreaterThan(1_000)
        expectThat(outcome.refusedAgain.toDouble() / outcome.refused).isLessThan(0.1)
    }

    /** Guards against a running call that is lost because one of its calls had to wait for a moment. */
    @Test
    fun `a child call waits beyond its aim while the time of its parent allows it`() {
        fill()
        repeat(4) { admission.offer(call("ahead-$it"), 0) }
        val child = call("child", aimMs = 150, deadlineMs = 800, acceptsLate = false, isChild = true)
        expectThat(admission.offer(child, 0)) isEqualTo AdmissionResult.Queued
        val hopeless = call("hopeless", aimMs = 150, deadlineMs = 160, acceptsLate = false, isChild = true)
        expectThat(admission.offer(hopeless, 0)).isA<AdmissionResult.Rejected>()
    }

    /** Guards against a queued call that is started when it cannot be answered any more. */
    @Test
    fun `a tick drops what has waited too long`() {
        fill()
        admission.offer(call("patient"), 0)
        admission.offer(call("gone", deadlineMs = 400, aimMs = 400), 0)
        admission.onTick(ms(370))
        expectThat(dropped).containsExactly("gone")
        expectThat(admission.queued) isEqualTo 1
    }

    /** Guards against a start of a call whose caller has gone. */
    @Test
    fun `a cancelled call neither starts nor is dropped`() {
        val running = fill()
        val waiting = call("waiting")
        admission.offer(waiting, 0)
        expectThat(admission.cancel(waiting, ms(1))) isEqualTo true
        running.forEach { admission.onFinish(it, ms(10), succeeded = true) }
        expectThat(started + dropped) isEqualTo emptyList()
    }
}
