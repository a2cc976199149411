package dev.lycheehill.calls.admission

import dev.lycheehill.core.time.NANOS_PER_MILLI

/**
 * Admits calls within the slots of the backend server and queues the others in order of their urgency.
 *
 * It answers the load in which calls arrive faster than the slots become free: a call is queued only if it is expected
 * to end in time, so the queue never holds work that is worth nothing when it is done. What cannot end in time is refused
 * on arrival, as long as another target can still take it.
 *
 * A child call may take a share of its parent's time instead, since the work of its parent is lost without it.
 *
 * Priority decides, then whether a running call waits for the call, as its parent holds a slot elsewhere, then the order
 * of arrival. Calls that can only be answered late run when nothing else waits.
 *
 * All state is guarded by the lock of this object; listeners are called outside of it.
 */
class SlotAdmission(
    private val settings: SlotAdmissionSettings = SlotAdmissionSettings(),
) : AdmissionControl {
    private var slots = settings.slots
    private var running = 0
    private val queue = MultilevelCallQueue()
    private val durations = DurationEstimates(settings)
    private val refusals = RejectionRate(settings)

    override val inFlight: Int get() = synchronized(this) { running }

    override val queued: Int get() = synchronized(this) { queue.size }

    override fun offer(
        call: AdmissionCall,
        nowNanos: Long,
    ): AdmissionResult =
        synchronized(this) {
            check(call.state == AdmissionState.NEW) { "a call is offered once" }
            val result =
                when {
                    call.deadline.isExpired(nowNanos) -> reject(call, RejectReason.DEADLINE, 0.0)
                    running < slots && queue.size == 0 -> admit(call, nowNanos)
                    else -> enqueue(call, nowNanos)
                }
            refusals.add(result is AdmissionResult.Rejected)
            result
        }

    override fun onFinish(
        call: AdmissionCall,
        nowNanos: Long,
        succeeded: Boolean,
    ) {
        val events = AdmissionEvents(nowNanos)
        synchronized(this) {
            if (call.state != AdmissionState.RUNNING) return
            call.state = AdmissionState.DONE
            if (succeeded) durations.add(call.route, (nowNanos - call.startedAtNanos).coerceAtLeast(1).toDouble())
            running--
            startWaiting(nowNanos, events)
        }
        events.deliver()
    }

    override fun cancel(
        call: AdmissionCall,
        nowNanos: Long,
    ): Boolean =
        synchronized(this) {
            if (call.state != AdmissionState.QUEUED || !queue.remove(call)) return false
            call.state = AdmissionState.DONE
            true
        }

    override fun onTick(nowNanos: Long) {
        val events = AdmissionEvents(nowNanos)
        synchronized(this) {
            for (call in queue.takeIf { dropReason(it, nowNanos) != null }) drop(call, nowNanos, events)
            startWaiting(nowNanos, events)
        }
        events.deliver()
    }

    override fun setSlots(
        slots: Int,
        nowNanos: Long,
    ) {
        val events = AdmissionEvents(nowNanos)
        synchronized(this) {
            this.slots = maxOf(1, slots)
            startWaiting(nowNanos, events)
        }
        events.deliver()
    }

    private fun enqueue(
        call: AdmissionCall,
        nowNanos: Long,
    ): AdmissionResult {
        val expectedNanos = durations.of(call.route)
        val waitNanos = waitNanos(queue.ahead(call, late = false) { durations.of(it.route) })
        val inTime = waitNanos <= longestWaitNanos(call, dueNanos(call, nowNanos) - nowNanos)
        if (!inTime && !call.acceptsLate) return reject(call, RejectReason.QUEUE_TIME, waitNanos)
        call.late = !inTime
        if (call.late) {
            val lateWaitNanos = waitNanos(queue.ahead(call, late = true) { durations.of(it.route) })
            val leftNanos = call.deadline.remainingNanos(nowNanos)
            val tooLong =
                lateWaitNanos > settings.maxLateWaitMs * NANOS_PER_MILLI ||
                    lateWaitNanos + expectedNanos > leftNanos * settings.lateTimeShare
            if (tooLong) return reject(call, RejectReason.QUEUE_TIME, lateWaitNanos)
        }
        call.state = AdmissionState.QUEUED
        call.queuedAtNanos = nowNanos
        queue.add(call)
        return AdmissionResult.Queued
    }

    /** Longest wait after which [call] very likely ends within [leftNanos], as durations vary. */
    private fun longestWaitNanos(
        call: AdmissionCall,
        leftNanos: Long,
    ): Double {
        val expectedNanos = durations.of(call.route)
        val slackNanos = leftNanos - expectedNanos
        val marginNanos = maxOf(expectedNanos * settings.minMarginShare, durations.longOf(call.route) - expectedNanos)
        return slackNanos - minOf(marginNanos, slackNanos * settings.maxMarginShareOfSlack)
    }

    /** Time at which [call] must end to be worth its slot. */
    private fun dueNanos(
        call: AdmissionCall,
        nowNanos: Long,
    ): Long =
        if (call.isChild) {
            nowNanos + (call.deadline.remainingNanos(nowNanos) * settings.childTimeShare).toLong()
        } else {
            call.aim.atNanos - settings.responseReturnMs * NANOS_PER_MILLI
        }

    /** Time until [aheadNanos] of work is done, from the mean time in which the next slot becomes free. */
    private fun waitNanos(aheadNanos: Double): Double = (aheadNanos + durations.meanNanos * 0.5) / slots

    private fun admit(
        call: AdmissionCall,
        nowNanos: Long,
    ): AdmissionResult {
        call.state = AdmissionState.RUNNING
        call.startedAtNanos = nowNanos
        running++
        return AdmissionResult.Admitted
    }

    private fun startWaiting(
        nowNanos: Long,
        events: AdmissionEvents,
    ) {
        while (running < slots) {
            val call = queue.next() ?: return
            if (dropReason(call, nowNanos) == null) {
                admit(call, nowNanos)
                events.started(call)
            } else {
                drop(call, nowNanos, events)
            }
        }
    }

    private fun drop(
        call: AdmissionCall,
        nowNanos: Long,
        events: AdmissionEvents,
    ) {
        val reason = dropReason(call, nowNanos) ?: RejectReason.QUEUE_TIME
        val rejected = reject(call, reason, waitNanos(queue.ahead(call, call.late) { durations.of(it.route) }))
        events.dropped(call, rejected)
    }

    // A call that has waited out of its aim is given back while another target may take it. Any other runs while a part of
    // its usual duration is left.
    private fun dropReason(
        call: AdmissionCall,
        nowNanos: Long,
    ): RejectReason? {
        val expectedNanos = durations.of(call.route)
        return when {
            call.deadline.remainingNanos(nowNanos) < expectedNanos * settings.minRemainingShare -> RejectReason.DEADLINE
            call.late && nowNanos - call.queuedAtNanos > settings.maxLateWaitMs * NANOS_PER_MILLI -> RejectReason.QUEUE_TIME
            !call.acceptsLate && !call.isChild && call.aim.remainingNanos(nowNanos) < expectedNanos -> RejectReason.QUEUE_TIME
            else -> null
        }
    }

    private fun reject(
        call: AdmissionCall,
        reason: RejectReason,
        waitNanos: Double,
    ): AdmissionResult.Rejected {
        call.state = AdmissionState.DONE
        return AdmissionResult.Rejected(reason, refusals.retryAfterMs((waitNanos / NANOS_PER_MILLI).toLong()))
    }
}
