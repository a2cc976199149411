package dev.lycheehill.calls.admission

import dev.lycheehill.calls.verdict.Deadline
import dev.lycheehill.core.time.NANOS_PER_MILLI
import java.util.PriorityQueue
import java.util.SplittableRandom

/**
 * Plays a load of random arrivals on a [SlotAdmission] in simulated time.
 *
 * @param responseReturnMs time from the end of a run until the caller has the answer.
 * @param hasLongTail whether a few runs last many times longer than the rest.
 * @param comesBack whether a refused caller comes back once, if it is told to within a third of the time that it has left.
 */
internal class SlotAdmissionSimulation(
    private val slots: Int,
    private val runMs: Long,
    private val aimMs: Long,
    private val callsPerSecond: Int,
    seed: Long,
    private val responseReturnMs: Long = 0,
    private val hasLongTail: Boolean = false,
    private val comesBack: Boolean = false,
    private val deadlineMs: Long = 10 * aimMs,
) {
    private val random = SplittableRandom(seed)
    private val admission = SlotAdmission(SlotAdmissionSettings(slots = slots, initialEstimateMs = runMs))
    private val events = PriorityQueue<Event>(compareBy { it.atNanos })
    private val outcome = SlotSimulationOutcome()

    /** Calls that the slots can run in [durationMs]. */
    fun capacity(durationMs: Long): Long = slots * durationMs / runMs

    fun run(durationMs: Long): SlotSimulationOutcome {
        var arrivalNanos = 0L
        while (arrivalNanos < durationMs * NANOS_PER_MILLI) {
            arrivalNanos += (-Math.log(1 - random.nextDouble()) * 1e9 / callsPerSecond).toLong()
            val at = arrivalNanos
            events.add(Event(at) { arrive(at, at) })
        }
        for (tickMs in 0 until durationMs step 10) {
            events.add(
                Event(tickMs * NANOS_PER_MILLI) { admission.onTick(tickMs * NANOS_PER_MILLI) },
            )
        }
        while (true) (events.poll() ?: break).run()
        return outcome
    }

    private fun arrive(
        nowNanos: Long,
        firstNanos: Long,
    ) {
        val call =
            AdmissionCall(
                route = "r",
                priority = CallPriority.NORMAL,
                cost = CallCost.LEARNED,
                sizeBytes = 0,
                deadline = Deadline.after(deadlineMs, firstNanos),
                listener = Listener(nowNanos, firstNanos),
                aim = Deadline.after(aimMs, firstNanos),
                acceptsLate = false,
            )
        when (val result = admission.offer(call, nowNanos)) {
            is AdmissionResult.Admitted -> start(call, firstNanos, nowNanos)
            is AdmissionResult.Rejected -> refused(result, nowNanos, firstNanos)
            is AdmissionResult.Queued -> Unit
        }
    }

    private fun refused(
        rejection: AdmissionResult.Rejected,
        nowNanos: Long,
        firstNanos: Long,
    ) {
        if (nowNanos != firstNanos) {
            outcome.refusedAgain++
            return
        }
        outcome.refused++
        val backNanos = nowNanos + rejection.retryAfterMs * NANOS_PER_MILLI
        if (comesBack && rejection.retryAfterMs <= deadlineMs / 3) events.add(Event(backNanos) { arrive(backNanos, firstNanos) })
    }

    private fun start(
        call: AdmissionCall,
        arrivedNanos: Long,
        nowNanos: Long,
    ) {
        val share = if (hasLongTail) -Math.log(1 - random.nextDouble()) else 0.5 + random.nextDouble()
        val endNanos = nowNanos + (runMs * NANOS_PER_MILLI * share).toLong()
        events.add(
            Event(endNanos) {
                outcome.finished++
                if (endNanos - arrivedNanos <= (aimMs - responseReturnMs) * NANOS_PER_MILLI) outcome.inTime++
                admission.onFinish(call, endNanos, succeeded = true)
            },
        )
    }

    private inner class Listener(
        private val arrivedNanos: Long,
        private val firstNanos: Long,
    ) : AdmissionListener {
        override fun onStart(
            call: AdmissionCall,
            nowNanos: Long,
        ) = start(call, firstNanos, nowNanos)

        override fun onDropped(
            call: AdmissionCall,
            rejection: AdmissionResult.Rejected,
        ) {
            outcome.longestHeldBeforeRefusalMs =
                maxOf(outcome.longestHeldBeforeRefusalMs, (currentNanos - arrivedNanos) / NANOS_PER_MILLI)
        }
    }

    private var currentNanos = 0L

    private inner class Event(
        val atNanos: Long,
        private val task: () -> Unit,
    ) {
        fun run() {
            currentNanos = atNanos
            task()
        }
    }
}
