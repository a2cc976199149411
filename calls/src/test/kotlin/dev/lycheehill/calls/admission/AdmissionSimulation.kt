package dev.lycheehill.calls.admission

import dev.lycheehill.calls.verdict.Deadline
import dev.lycheehill.core.time.NANOS_PER_MILLI
import java.util.PriorityQueue
import java.util.Random

/** Discrete-event simulation of calls at an admission control, in simulated time. */
internal class AdmissionSimulation(
    private val admission: AdmissionControl,
    seed: Long,
) {
    private val random = Random(seed)
    private val events = PriorityQueue(compareBy<Event> { it.atNanos })
    private var nowNanos = 0L
    var maxRunning = 0
        private set

    /** A kind of calls with random arrivals at the rate [perSecond] and durations from half to one and a half times [runMs]. */
    class Kind(
        val route: String,
        val perSecond: Double,
        val runMs: Double,
        val priority: CallPriority = CallPriority.NORMAL,
        val cost: CallCost = CallCost.LEARNED,
    ) {
        val latenciesMs = ArrayList<Double>()
        var offered = 0
        var dropped = 0
        val served get() = latenciesMs.size

        fun p99Ms(): Double = latenciesMs.sorted()[latenciesMs.size * 99 / 100]
    }

    fun run(
        kinds: List<Kind>,
        forMs: Long,
    ) {
        val endNanos = nowNanos + forMs * NANOS_PER_MILLI
        kinds.forEach { scheduleArrival(it, endNanos) }
        scheduleTick(endNanos)
        while (events.isNotEmpty()) {
            val event = events.poll()
            nowNanos = event.atNanos
            event.action()
        }
    }

    private fun scheduleArrival(
        kind: Kind,
        endNanos: Long,
    ) {
        val at = nowNanos + (-Math.log(1 - random.nextDouble()) * 1e9 / kind.perSecond).toLong()
        if (at > endNanos) return
        schedule(at) {
            arrive(kind)
            scheduleArrival(kind, endNanos)
        }
    }

    private fun scheduleTick(endNanos: Long) {
        schedule(nowNanos + 10 * NANOS_PER_MILLI) {
            admission.onTick(nowNanos)
            if (nowNanos < endNanos || admission.queued > 0) scheduleTick(endNanos)
        }
    }

    private fun arrive(kind: Kind) {
        val arrivedNanos = nowNanos
        val listener =
            object : AdmissionListener {
                override fun onStart(
                    call: AdmissionCall,
                    nowNanos: Long,
                ) = serve(kind, call, arrivedNanos)

                override fun onDropped(
                    call: AdmissionCall,
                    rejection: AdmissionResult.Rejected,
                ) {
                    kind.dropped++
                }
            }
        val call = AdmissionCall(kind.route, kind.priority, kind.cost, 0, Deadline.after(2_000, nowNanos), listener)
        kind.offered++
        when (admission.offer(call, nowNanos)) {
            is AdmissionResult.Admitted -> serve(kind, call, arrivedNanos)
            is AdmissionResult.Rejected -> kind.dropped++
            is AdmissionResult.Queued -> Unit
        }
    }

    private fun serve(
        kind: Kind,
        call: AdmissionCall,
        arrivedNanos: Long,
    ) {
        maxRunning = maxOf(maxRunning, admission.inFlight)
        val runNanos = (kind.runMs * (0.5 + random.nextDouble()) * NANOS_PER_MILLI).toLong()
        schedule(nowNanos + runNanos) {
            kind.latenciesMs += (nowNanos - arrivedNanos) / NANOS_PER_MILLI.toDouble()
            admission.onFinish(call, nowNanos)
        }
    }

    private fun schedule(
        atNanos: Long,
        action: () -> Unit,
    ) {
        events += Event(atNanos, action)
    }

    private class Event(
        val atNanos: Long,
        val action: () -> Unit,
    )
}
