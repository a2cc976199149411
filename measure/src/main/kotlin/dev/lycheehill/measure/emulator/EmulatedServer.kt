package dev.lycheehill.measure.emulator

import dev.lycheehill.calls.admission.AdmissionCall
import dev.lycheehill.calls.admission.AdmissionListener
import dev.lycheehill.calls.admission.AdmissionResult
import dev.lycheehill.calls.admission.CallCost
import dev.lycheehill.calls.admission.CallPriority
import dev.lycheehill.calls.admission.SlotAdmission
import dev.lycheehill.calls.balancing.LoadReport
import dev.lycheehill.core.time.NANOS_PER_MILLI
import java.util.SplittableRandom
import kotlin.math.cos
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/** A backend server with its node: the production admission before an emulated number of slots. */
internal class EmulatedServer(
    private val fleet: EmulatedFleet,
    val service: EmulatedService,
    val id: String,
    val zone: String,
    private val index: Int,
    private val speed: Double,
    private val random: SplittableRandom,
) {
    private val timers = fleet.timers
    private var admission = newAdmission()

    // Changes with each start, so that what was running before ends unheard.
    var incarnation = 0L
        private set
    private var coldUntilMs = 0L
    private var meanNanos = 0.0

    /** Loses all that it knows and holds; it is slow for some seconds. */
    fun restart(nowMs: Long) {
        incarnation++
        admission = newAdmission()
        coldUntilMs = nowMs + COLD_MS
    }

    /** Load that an answer carries. */
    fun load() = LoadReport(admission.inFlight, meanNanos.toLong(), admission.queued, service.slots)

    /** Drops what has waited too long. */
    fun tick() = admission.onTick(timers.nowNanos())

    /** Takes [arrival]; its answer comes later. */
    fun offer(arrival: EmulatedAttempt) {
        val now = timers.nowNanos()
        val admitted = admissionCall(arrival)
        when (val result = admission.offer(admitted, now)) {
            is AdmissionResult.Admitted -> run(admitted, arrival)
            is AdmissionResult.Rejected -> arrival.refuse(result.retryAfterMs)
            is AdmissionResult.Queued -> Unit
        }
    }

    private fun admissionCall(arrival: EmulatedAttempt): AdmissionCall {
        val call = arrival.call
        val policy = fleet.policy
        return AdmissionCall(
            route = call.route.name,
            priority = if (policy.usesPriorities) call.route.priority else CallPriority.NORMAL,
            cost = CallCost.LEARNED,
            sizeBytes = 0,
            deadline = call.deadline,
            aim = call.aim,
            acceptsLate = arrival.acceptsLate,
            isChild = call.isChild && policy.prioritizesChildCalls,
            listener =
                object : AdmissionListener {
                    override fun onStart(
                        call: AdmissionCall,
                        nowNanos: Long,
                    ) = run(call, arrival)

                    override fun onDropped(
                        call: AdmissionCall,
                        rejection: AdmissionResult.Rejected,
                    ) = arrival.refuse(rejection.retryAfterMs)
                },
        )
    }

    private fun run(
        admitted: AdmissionCall,
        arrival: EmulatedAttempt,
    ) {
        val now = timers.nowNanos()
        val nowMs = now / NANOS_PER_MILLI
        val fault = fleet.failureOf(service.name, index, nowMs, random.nextDouble())
        if (fault != null || admitted.deadline.isExpired(now)) {
            admission.onFinish(admitted, now, succeeded = false)
            if (fault is EmulatedFault.Failing) arrival.answer(succeeded = false) else arrival.refuse(BACKEND_RETRY_MS, arrived = true)
            return
        }
        val cold = if (nowMs < coldUntilMs) COLD_FACTOR else 1.0
        val factor = cold * fleet.slownessOf(service.name, index, nowMs)
        val durationMs = maxOf(1L, (arrival.call.route.meanWorkMs / speed * factor * logNormal()).toLong())
        val leftMs = admitted.deadline.remainingMs(now)
        val running = incarnation
        val end = { succeeded: Boolean -> if (running == incarnation) finish(admitted, arrival, succeeded) }
        if (durationMs > leftMs) {
            timers.after(leftMs) { end(false) }
            return
        }
        timers.after(durationMs / 2) {
            if (running != incarnation) return@after
            callChildren(arrival, childCalls(arrival.call.route)) { served ->
                if (served) timers.after(durationMs / 2) { end(true) } else end(false)
            }
        }
    }

    private fun childCalls(route: EmulatedRoute): Int {
        val whole = route.meanChildCalls.toInt()
        return whole + if (random.nextDouble() < route.meanChildCalls - whole) 1 else 0
    }

    private fun callChildren(
        arrival: EmulatedAttempt,
        count: Int,
        then: (Boolean) -> Unit,
    ) {
        val child = arrival.call.route.childRoute
        if (count == 0 || child == null) return then(true)
        fleet.childCall(child, this, arrival.call) { outcome ->
            if (outcome.succeeded) callChildren(arrival, count - 1, then) else then(false)
        }
    }

    private fun finish(
        admitted: AdmissionCall,
        arrival: EmulatedAttempt,
        succeeded: Boolean,
    ) {
        val now = timers.nowNanos()
        val tookNanos = (now - arrival.startNanos).toDouble()
        meanNanos = if (meanNanos == 0.0) tookNanos else meanNanos + (tookNanos - meanNanos) * SMOOTHING
        admission.onFinish(admitted, now, succeeded)
        arrival.answer(succeeded)
    }

    private fun logNormal(): Double {
        val gaussian = sqrt(-2 * ln(1 - random.nextDouble())) * cos(2 * Math.PI * random.nextDouble())
        return exp(fleet.scenario.durationSigma * gaussian - fleet.scenario.durationSigma * fleet.scenario.durationSigma / 2)
    }

    private fun newAdmission() = SlotAdmission(fleet.policy.admission.copy(slots = service.slots))

    private companion object {
        const val COLD_MS = 3_000L
        const val COLD_FACTOR = 1.6
        const val SMOOTHING = 0.1

        // As the node's data path does.
        const val BACKEND_RETRY_MS = 100L
    }
}
