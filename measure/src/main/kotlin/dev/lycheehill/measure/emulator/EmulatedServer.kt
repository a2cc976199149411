package dev.lycheehill.measure.emulator

import dev.lycheehill.calls.admission.AdmissionCall
import dev.lycheehill.calls.admission.AdmissionListener
import dev.lycheehill.calls.admission.AdmissionResult
import dev.lycheehill.calls.admission.CallCost
import dev.lycheehill.calls.admission.CallPriority
import dev.lycheehill.calls.admission.SlotAdmission
import dev.lycheehill.calls.balancing.LoadReport
import dev.lycheehill.calls.limits.StatedLimit
import dev.lycheehill.core.time.NANOS_PER_MILLI
import java.util.SplittableRandom
import kotlin.math.cos
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt

/**
 * A backend server with its node. The node uses the production admission; the execution of requests is simulated.
 *
 * @param index position among the backend servers of the service in all zones; faults affect the lowest positions.
 * @param speed speed factor, by which execution times are divided.
 */
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

    // Incremented at each restart, so that the ends of requests that ran before the restart are ignored.
    var incarnation = 0L
        private set
    private var statedLimit = StatedLimit()
    private var coldUntilMs = 0L
    private var meanDurationNanos = 0.0

    /** Restarts the server and its node, which lose their state and their requests. The server is slow for some seconds. */
    fun restart(nowMs: Long) {
        incarnation++
        admission = newAdmission()
        statedLimit = StatedLimit()
        coldUntilMs = nowMs + COLD_DURATION_MS
    }

    /** Returns the load report that a response carries. */
    fun loadReport(): LoadReport {
        val limit = statedLimit.requestsPerSecond.takeIf { fleet.policy.reportsUsableSlots }
        val slots = StatedLimit.usableSlots(service.slots, limit, meanDurationNanos.toLong())
        return LoadReport(admission.inFlight, meanDurationNanos.toLong(), admission.queued, slots)
    }

    /** Lets the admission drop calls that have waited too long. */
    fun tick() = admission.onTick(timers.nowNanos())

    /** Offers [attempt] to the admission, which admits, queues or rejects it. */
    fun offer(attempt: EmulatedAttempt) {
        val now = timers.nowNanos()
        val admissionCall = newAdmissionCall(attempt)
        when (val result = admission.offer(admissionCall, now)) {
            is AdmissionResult.Admitted -> run(admissionCall, attempt)
            is AdmissionResult.Rejected -> attempt.refuse(result.retryAfterMs)
            is AdmissionResult.Queued -> Unit
        }
    }

    private fun newAdmissionCall(attempt: EmulatedAttempt): AdmissionCall {
        val call = attempt.call
        val policy = fleet.policy
        return AdmissionCall(
            route = call.route.name,
            priority = if (policy.usesPriorities) call.route.priority else CallPriority.NORMAL,
            cost = CallCost.LEARNED,
            sizeBytes = 0,
            deadline = call.deadline,
            aim = call.aim,
            acceptsLate = attempt.acceptsLate,
            isChild = call.isChild && policy.prioritizesChildCalls,
            listener =
                object : AdmissionListener {
                    override fun onStart(
                        call: AdmissionCall,
                        nowNanos: Long,
                    ) = run(call, attempt)

                    override fun onDropped(
                        call: AdmissionCall,
                        rejection: AdmissionResult.Rejected,
                    ) = attempt.refuse(rejection.retryAfterMs)
                },
        )
    }

    private fun run(
        admissionCall: AdmissionCall,
        attempt: EmulatedAttempt,
    ) {
        val now = timers.nowNanos()
        val nowMs = now / NANOS_PER_MILLI
        fleet.tally.recordArrival(id, nowMs, fleet.statedLimitOf(service.name, index, nowMs))
        val fault = fleet.faultOf(service.name, index, nowMs, random.nextDouble())
        if (fault != null || admissionCall.deadline.isExpired(now)) {
            admission.onFinish(admissionCall, now, succeeded = false)
            if (fault is EmulatedFault.Failing) attempt.respond(succeeded = false) else attempt.refuse(BACKEND_RETRY_MS, arrived = true)
            return
        }
        val coldFactor = if (nowMs < coldUntilMs) COLD_FACTOR else 1.0
        val factor = coldFactor * fleet.slowFactorOf(service.name, index, nowMs)
        val durationMs = maxOf(1L, (attempt.call.route.meanWorkMs / speed * factor * logNormal()).toLong())
        val leftMs = admissionCall.deadline.remainingMs(now)
        val startIncarnation = incarnation
        val finishIfNotRestarted = { succeeded: Boolean -> if (startIncarnation == incarnation) finish(admissionCall, attempt, succeeded) }
        if (durationMs > leftMs) {
            timers.after(leftMs) { finishIfNotRestarted(false) }
            return
        }
        timers.after(durationMs / 2) {
            if (startIncarnation != incarnation) return@after
            callChildren(attempt, drawChildCallCount(attempt.call.route)) { allSucceeded ->
                if (allSucceeded) timers.after(durationMs / 2) { finishIfNotRestarted(true) } else finishIfNotRestarted(false)
            }
        }
    }

    private fun drawChildCallCount(route: EmulatedRoute): Int {
        val wholeCalls = route.meanChildCalls.toInt()
        return wholeCalls + if (random.nextDouble() < route.meanChildCalls - wholeCalls) 1 else 0
    }

    private fun callChildren(
        attempt: EmulatedAttempt,
        count: Int,
        onDone: (Boolean) -> Unit,
    ) {
        val child = attempt.call.route.childRoute
        if (count == 0 || child == null) return onDone(true)
        fleet.startChildCall(child, this, attempt.call) { outcome ->
            if (outcome.succeeded) callChildren(attempt, count - 1, onDone) else onDone(false)
        }
    }

    private fun finish(
        admissionCall: AdmissionCall,
        attempt: EmulatedAttempt,
        succeeded: Boolean,
    ) {
        val now = timers.nowNanos()
        val elapsedNanos = (now - attempt.startNanos).toDouble()
        meanDurationNanos =
            if (meanDurationNanos == 0.0) elapsedNanos else meanDurationNanos + (elapsedNanos - meanDurationNanos) * DURATION_SMOOTHING
        recordStatement(sentAtNanos = attempt.startNanos, now)
        admission.onFinish(admissionCall, now, succeeded)
        attempt.respond(succeeded)
    }

    private fun recordStatement(
        sentAtNanos: Long,
        nowNanos: Long,
    ) {
        if (!fleet.policy.keepsStatedLimits) return
        val known = statedLimit.requestsPerSecond
        statedLimit.onResponse(fleet.statedLimitOf(service.name, index, nowNanos / NANOS_PER_MILLI), sentAtNanos, nowNanos)
        if (statedLimit.requestsPerSecond != known) admission.setMaxRate(statedLimit.requestsPerSecond, nowNanos)
    }

    private fun logNormal(): Double {
        val gaussian = sqrt(-2 * ln(1 - random.nextDouble())) * cos(2 * Math.PI * random.nextDouble())
        return exp(fleet.scenario.durationSigma * gaussian - fleet.scenario.durationSigma * fleet.scenario.durationSigma / 2)
    }

    private fun newAdmission() = SlotAdmission(fleet.policy.admission.copy(slots = service.slots))

    private companion object {
        const val COLD_DURATION_MS = 3_000L
        const val COLD_FACTOR = 1.6
        const val DURATION_SMOOTHING = 0.1

        // Same value as on the data path of a node.
        const val BACKEND_RETRY_MS = 100L
    }
}
