package dev.lycheehill.calls.admission

import dev.lycheehill.calls.verdict.Deadline
import dev.lycheehill.core.time.NANOS_PER_MILLI
import java.util.PriorityQueue
import java.util.SplittableRandom

/** Plays a load of random arrivals on a [SlotAdmission] in simulated time. */
internal class SlotLoad(
    private val slots: Int,
    private val runMs: Long,
    private val aimMs: Long,
    private val callsPerSecond: Int,
    seed: Long,
) {
    private val random = SplittableRandom(seed)
    private val admission = SlotAdmission(SlotAdmissionSettings(slots = slots, firstEstimateMs = runMs))
    private val events = PriorityQueue<Event>(compareBy { it.atNanos })
    private val outcome = SlotLoadOutcome()

    /** Calls that the slots can run in [durationMs]. */
    fun capacity(durationMs: Long): Long = slots * durationMs / runMs

    fun run(durationMs: Long): SlotLoadOutcome {
        var arrivalNanos = 0L
        while (arrivalNanos < durationMs * NANOS_PER_MILLI) {
            arrivalNanos += (-Math.log(1 - random.nextDouble()) * 1e9 / callsPerSecond).toLong()
            val at = arrivalNanos
            events.add(Event(at) { arrive(at) })
        }
        for (tickMs in 0 until durationMs step 10) {
            events.add(
                Event(tickMs * NANOS_PER_MILLI) { admission.onTick(tickMs * NANOS_PER_MILLI) },
            )
        }
        while (true) (events.poll() ?: break).run()
        return outcome
    }

    private fun arrive(nowNanos: Long) {
        val call =
            AdmissionCall(
                route = "r",
                priority = CallPriority.NORMAL,
                cost = CallCost.LEARNED,
                sizeBytes = 0,
                deadline = Deadline.after(10 * aimMs, nowNanos),
                listener = Listener(nowNanos),
                aim = Deadline.after(aimMs, nowNanos),
                acceptsLate = false,
            )
        if (admission.offer(call, nowNanos) == AdmissionResult.Admitted) start(call, nowNanos, nowNanos)
    }

    private fun start(
        call: AdmissionCall,
        arrivedNanos: Long,
        nowNanos: Long,
    ) {
        val endNanos = nowNanos + (runMs * NANOS_PER_MILLI * (0.5 + random.nextDouble())).toLong()
        events.add(
            Event(endNanos) {
                outcome.finished++
                if (endNanos - arrivedNanos <= aimMs * NANOS_PER_MILLI) outcome.inTime++
                admission.onFinish(call, endNanos, succeeded = true)
            },
        )
    }

    private inner class Listener(
        private val arrivedNanos: Long,
    ) : AdmissionListener {
        override fun onStart(
            call: AdmissionCall,
            nowNanos: Long,
        ) = start(call, arrivedNanos, nowNanos)

        override fun onDropped(
            call: AdmissionCall,
            rejection: AdmissionResult.Rejected,
        ) {
            val heldMs = (call.deadline.atNanos / NANOS_PER_MILLI - 10 * aimMs).let { arrived -> lastNowMs() - arrived }
            outcome.longestHeldBeforeRefusalMs = maxOf(outcome.longestHeldBeforeRefusalMs, heldMs)
        }

        private fun lastNowMs(): Long = currentNanos / NANOS_PER_MILLI
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
