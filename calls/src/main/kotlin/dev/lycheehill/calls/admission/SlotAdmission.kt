package dev.lycheehill.calls.admission

import dev.lycheehill.calls.limits.RequestRateLimiter
import dev.lycheehill.core.time.NANOS_PER_MILLI

/**
 * Admission control that runs as many calls as the backend server has slots, starts them at up to the rate that the backend server
 * accepts, and queues the others by urgency.
 *
 * A call is queued only if it is expected to end in time, so that under overload the backend server does not run calls whose
 * response arrives too late. A call that cannot end in time is rejected on arrival, while another target can still take it. A call
 * that accepts a late response may be queued nevertheless, as a late call.
 *
 * In time means before the soft deadline ([AdmissionCall.aim]) of the call. For a child call, in time means within a share of the time
 * that is left until its deadline, because the work of its parent is lost without the child call.
 *
 * The queue is ordered by priority. Within a priority, child calls come first, because their parents hold slots at other
 * targets; then the order of arrival decides. Late calls run when no other call is queued.
 *
 * The lock of this object guards all state. Listeners are called outside the lock.
 */
class SlotAdmission(
    private val settings: SlotAdmissionSettings = SlotAdmissionSettings(),
) : AdmissionControl {
    private var slots = settings.slots
    private var running = 0
    private val queue = MultilevelCallQueue()
    private val durations = DurationEstimates(settings)
    private val rejectionRate = RejectionRate(settings)
    private val rateLimiter = RequestRateLimiter()

    override val inFlight: Int get() = synchronized(this) { running }

    override val queued: Int get() = synchronized(this) { queue.size }

    override fun offer(
        call: AdmissionCall,
        nowNanos: Long,
    ): AdmissionResult =
        synchronized(this) {
            check(call.state == AdmissionState.NEW) { "the call has already been offered" }
            val result =
                when {
                    call.deadline.isExpired(nowNanos) -> reject(call, RejectReason.DEADLINE, 0.0)
                    queue.size == 0 && canStart(nowNanos) -> admit(call, nowNanos)
                    else -> enqueue(call, nowNanos)
                }
            rejectionRate.add(result is AdmissionResult.Rejected)
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
            startQueued(nowNanos, events)
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
            startQueued(nowNanos, events)
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
            startQueued(nowNanos, events)
        }
        events.deliver()
    }

    override fun setMaxRate(
        callsPerSecond: Double?,
        nowNanos: Long,
    ) {
        val events = AdmissionEvents(nowNanos)
        synchronized(this) {
            rateLimiter.setRate(callsPerSecond, nowNanos)
            startQueued(nowNanos, events)
        }
        events.deliver()
    }

    private fun enqueue(
        call: AdmissionCall,
        nowNanos: Long,
    ): AdmissionResult {
        val expectedNanos = durations.meanOf(call.route)
        val waitNanos = waitNanos(call, isLate = false, nowNanos)
        val isInTime = waitNanos <= maxWaitNanos(call, latestEndNanos(call, nowNanos) - nowNanos)
        if (!isInTime && !call.acceptsLate) return reject(call, waitReason(call, isLate = false, nowNanos), waitNanos)
        call.isLate = !isInTime
        if (call.isLate) {
            val lateQueueWaitNanos = waitNanos(call, isLate = true, nowNanos)
            val leftNanos = call.deadline.remainingNanos(nowNanos)
            val isTooLong =
                lateQueueWaitNanos > settings.maxLateWaitMs * NANOS_PER_MILLI ||
                    lateQueueWaitNanos + expectedNanos > leftNanos * settings.lateTimeShare
            if (isTooLong) return reject(call, waitReason(call, isLate = true, nowNanos), lateQueueWaitNanos)
        }
        call.state = AdmissionState.QUEUED
        call.queuedAtNanos = nowNanos
        queue.add(call)
        return AdmissionResult.Queued
    }

    /**
     * Returns the longest wait after which [call] is likely to end within [leftNanos]. A margin covers durations above the mean. The
     * result is negative if [call] is not expected to end within [leftNanos] even without a wait.
     */
    private fun maxWaitNanos(
        call: AdmissionCall,
        leftNanos: Long,
    ): Double {
        val expectedNanos = durations.meanOf(call.route)
        val slackNanos = leftNanos - expectedNanos
        val marginNanos = maxOf(expectedNanos * settings.minMarginShare, durations.tailOf(call.route) - expectedNanos)
        return slackNanos - minOf(marginNanos, slackNanos * settings.maxMarginShareOfSlack)
    }

    /** Returns the time at which [call] must have ended so that its response is of use. */
    private fun latestEndNanos(
        call: AdmissionCall,
        nowNanos: Long,
    ): Long =
        if (call.isChild) {
            nowNanos + (call.deadline.remainingNanos(nowNanos) * settings.childTimeShare).toLong()
        } else {
            call.aim.atNanos - settings.responseReturnMs * NANOS_PER_MILLI
        }

    /** Returns the expected wait of [call] if it were queued now: for a slot or for the rate limit, whichever is longer. */
    private fun waitNanos(
        call: AdmissionCall,
        isLate: Boolean,
        nowNanos: Long,
    ): Double = maxOf(slotWaitNanos(call, isLate), rateWaitNanos(call, isLate, nowNanos))

    // The running calls are on average half done, so half a mean duration is added. The sum is divided by the slots.
    private fun slotWaitNanos(
        call: AdmissionCall,
        isLate: Boolean,
    ): Double = (queue.workAhead(call, isLate) { durations.meanOf(it.route) } + durations.meanNanos * 0.5) / slots

    private fun rateWaitNanos(
        call: AdmissionCall,
        isLate: Boolean,
        nowNanos: Long,
    ): Double = if (rateLimiter.isLimited) rateLimiter.waitNanos(queue.callsAhead(call, isLate), nowNanos) else 0.0

    private fun waitReason(
        call: AdmissionCall,
        isLate: Boolean,
        nowNanos: Long,
    ): RejectReason =
        if (rateWaitNanos(call, isLate, nowNanos) > slotWaitNanos(call, isLate)) RejectReason.RATE_LIMIT else RejectReason.QUEUE_TIME

    private fun canStart(nowNanos: Long): Boolean = running < slots && rateLimiter.hasToken(nowNanos)

    private fun admit(
        call: AdmissionCall,
        nowNanos: Long,
    ): AdmissionResult {
        call.state = AdmissionState.RUNNING
        call.startedAtNanos = nowNanos
        rateLimiter.takeToken()
        running++
        return AdmissionResult.Admitted
    }

    private fun startQueued(
        nowNanos: Long,
        events: AdmissionEvents,
    ) {
        while (canStart(nowNanos)) {
            val call = queue.takeNext() ?: return
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
        // The reason is not null here, because only calls with a reason are dropped.
        val reason = dropReason(call, nowNanos) ?: RejectReason.QUEUE_TIME
        val rejection = reject(call, reason, waitNanos(call, call.isLate, nowNanos))
        events.dropped(call, rejection)
    }

    // A call is dropped when less than a minimum share of its expected duration is left until its deadline. A late call is also
    // dropped after the longest wait of late calls. A call that can no longer end before its soft deadline and accepts no late
    // response is dropped, so that another target may take the call; this does not hold for a child call.
    private fun dropReason(
        call: AdmissionCall,
        nowNanos: Long,
    ): RejectReason? {
        val expectedNanos = durations.meanOf(call.route)
        return when {
            call.deadline.remainingNanos(nowNanos) < expectedNanos * settings.minRemainingShare -> RejectReason.DEADLINE
            call.isLate && nowNanos - call.queuedAtNanos > settings.maxLateWaitMs * NANOS_PER_MILLI -> RejectReason.QUEUE_TIME
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
        return AdmissionResult.Rejected(reason, rejectionRate.retryAfterMs((waitNanos / NANOS_PER_MILLI).toLong()))
    }
}
