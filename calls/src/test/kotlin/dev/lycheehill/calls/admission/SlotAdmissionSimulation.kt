package dev.lycheehill.calls.admission

import dev.lycheehill.calls.verdict.Deadline
import dev.lycheehill.core.time.NANOS_PER_MILLI
import java.util.PriorityQueue
import java.util.SplittableRandom

/**
 * Discrete-event simulation of random arrivals at a [SlotAdmission], in simulated time.
 *
 * @param responseReturnMs time from the end of a run until the caller has the response.
 * @param hasLongTail whether durations are exponentially distributed, so that a few runs last many times longer than the rest.
 * @param retriesOnce whether a rejected caller tries again once, if the retry hint is at most a third of [deadlineMs].
 */
internal class SlotAdmissionSimulation(
    private val slots: Int,
    private val runMs: Long,
    private val aimMs: Long,
    private val callsPerSecond: Int,
    seed: Long,
    private val responseReturnMs: Long = 0,
    private val hasLongTail: Boolean = false,
    private val retriesOnce: Boolean = false,
    private val deadlineMs: Long = 10 * aimMs,
) {
    private val random = SplittableRandom(seed)
    private val admission = SlotAdmission(SlotAdmissionSettings(slots = slots, initialEstimateMs = runMs))
    private val events = PriorityQueue<Event>(compareBy { it.atNanos })
    private val outcome = SlotSimulationOutcome()

    /** Returns the number of calls that the slots can run in [durationMs]. */
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
        firstArrivalNanos: Long,
    ) {
        val call =
            AdmissionCall(
                route = "r",
                priority = CallPriority.NORMAL,
                cost = CallCost.LEARNED,
                sizeBytes = 0,
                deadline = Deadline.after(deadlineMs, firstArrivalNanos),
                listener = Listener(nowNanos, firstArrivalNanos),
                aim = Deadline.after(aimMs, firstArrivalNanos),
                acceptsLate = false,
            )
        when (val result = admission.offer(call, nowNanos)) {
            is AdmissionResult.Admitted -> start(call, firstArrivalNanos, nowNanos)
            is AdmissionResult.Rejected -> onRejected(result, nowNanos, firstArrivalNanos)
            is AdmissionResult.Queued -> Unit
        }
    }

    private fun onRejected(
        rejection: AdmissionResult.Rejected,
        nowNanos: Long,
        firstArrivalNanos: Long,
    ) {
        if (nowNanos != firstArrivalNanos) {
            outcome.rejectedAgain++
            return
        }
        outcome.rejected++
        val retryNanos = nowNanos + rejection.retryAfterMs * NANOS_PER_MILLI
        if (retriesOnce && rejection.retryAfterMs <= deadlineMs / 3) events.add(Event(retryNanos) { arrive(retryNanos, firstArrivalNanos) })
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
        private val firstArrivalNanos: Long,
    ) : AdmissionListener {
        override fun onStart(
            call: AdmissionCall,
            nowNanos: Long,
        ) = start(call, firstArrivalNanos, nowNanos)

        override fun onDropped(
            call: AdmissionCall,
            rejection: AdmissionResult.Rejected,
        ) {
            outcome.maxWaitBeforeDropMs =
                maxOf(outcome.maxWaitBeforeDropMs, (currentNanos - arrivedNanos) / NANOS_PER_MILLI)
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
