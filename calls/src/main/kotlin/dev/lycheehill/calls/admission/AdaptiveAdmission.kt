package dev.lycheehill.calls.admission

import dev.lycheehill.core.time.NANOS_PER_MILLI
import kotlin.math.ceil

/**
 * Admits calls within an adaptive concurrency limit, and queues the others by priority.
 *
 * The queue of a cost class is in order of arrival while it was empty within the last interval. Otherwise the class is
 * overloaded: its newest call is next, and calls that waited longer than the target are dropped (adaptive LIFO with CoDel's times).
 *
 * All state is guarded by the lock of this object; listeners are called outside of it.
 */
class AdaptiveAdmission(
    private val settings: AdaptiveAdmissionSettings,
) : AdmissionControl {
    private val limit = ConcurrencyLimit(settings.slots)
    private val costs = CostClassifier()
    private val queue = CallQueue()
    private var running = 0
    private var longRunning = 0
    private var lastStartedLong = false
    private val short = CostClassLoad()
    private val long = CostClassLoad()

    override val inFlight: Int get() = synchronized(this) { running }
    override val queued: Int get() = synchronized(this) { queue.size }

    /** Calls that may run at a time now, between 1 and the slots. */
    val concurrencyLimit: Int get() = synchronized(this) { limit.value }

    override fun offer(
        call: AdmissionCall,
        nowNanos: Long,
    ): AdmissionResult {
        val events = AdmissionEvents(nowNanos)
        val result = synchronized(this) { offerLocked(call, nowNanos, events) }
        events.deliver()
        return result
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
            if (succeeded) learn(call, nowNanos)
            running--
            if (call.long) longRunning--
            startWaiting(nowNanos, events)
        }
        events.deliver()
    }

    override fun cancel(
        call: AdmissionCall,
        nowNanos: Long,
    ): Boolean {
        val events = AdmissionEvents(nowNanos)
        synchronized(this) {
            if (call.state != AdmissionState.QUEUED || !queue.remove(call)) return false
            call.state = AdmissionState.DONE
            // A waiting long call can hold a slot free, so its removal may let a short call start.
            startWaiting(nowNanos, events)
        }
        events.deliver()
        return true
    }

    override fun onTick(nowNanos: Long) {
        val events = AdmissionEvents(nowNanos)
        synchronized(this) {
            dropOld(nowNanos, events)
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
            limit.setSlots(slots)
            startWaiting(nowNanos, events)
        }
        events.deliver()
    }

    private fun offerLocked(
        call: AdmissionCall,
        nowNanos: Long,
        events: AdmissionEvents,
    ): AdmissionResult {
        check(call.state == AdmissionState.NEW) { "a call is offered once" }
        if (call.deadline.isExpired(nowNanos)) return reject(call, RejectReason.DEADLINE, nowNanos)
        call.long = costs.isLong(call)
        call.queuedAtNanos = nowNanos
        loadOf(call).onArrival(nowNanos)
        noteEmpty(nowNanos)
        if (queue.size == 0 && maySlotGoTo(call.long, nowNanos)) return admit(call, nowNanos)
        if (isFull(call.long, nowNanos)) dropOld(nowNanos, events)
        if (isFull(call.long, nowNanos) && !makeRoom(call, nowNanos, events)) return reject(call, RejectReason.QUEUE_FULL, nowNanos)
        call.state = AdmissionState.QUEUED
        queue.add(call)
        startWaiting(nowNanos, events)
        return if (events.withdrawStart(call)) AdmissionResult.Admitted else AdmissionResult.Queued
    }

    private fun admit(
        call: AdmissionCall,
        nowNanos: Long,
    ): AdmissionResult {
        call.state = AdmissionState.RUNNING
        call.startedAtNanos = nowNanos
        running++
        if (call.long) longRunning++
        lastStartedLong = call.long
        return AdmissionResult.Admitted
    }

    private fun startWaiting(
        nowNanos: Long,
        events: AdmissionEvents,
    ) {
        while (queue.size > 0) {
            val call =
                queue.next(
                    shortAllowed = maySlotGoTo(long = false, nowNanos),
                    longAllowed = maySlotGoTo(long = true, nowNanos),
                    newestShort = isOverloaded(short, nowNanos),
                    newestLong = isOverloaded(long, nowNanos),
                ) ?: break
            val reason = dropReason(call, nowNanos)
            if (reason == null) {
                admit(call, nowNanos)
                events.started(call)
            } else {
                events.dropped(call, reject(call, reason, nowNanos))
            }
        }
        noteEmpty(nowNanos)
    }

    private fun noteEmpty(nowNanos: Long) {
        if (queue.shortSize == 0) short.lastEmptyNanos = nowNanos
        if (queue.longSize == 0) long.lastEmptyNanos = nowNanos
    }

    // Long calls leave a quarter of the slots free while short calls arrive, and short calls leave one slot free while
    // only long calls wait for it. With a single slot the classes take turns.
    private fun maySlotGoTo(
        long: Boolean,
        nowNanos: Long,
    ): Boolean {
        val slots = limit.value
        if (running >= slots) return false
        if (slots == 1) return if (long) !lastStartedLong || queue.shortSize == 0 else lastStartedLong || queue.longSize == 0
        if (!long) return running < slots - 1 || longRunning > 0 || queue.longSize == 0
        return longRunning < longLimit(slots, nowNanos)
    }

    private fun longLimit(
        slots: Int,
        nowNanos: Long,
    ): Int = if (isPresent(short, nowNanos)) maxOf(1, slots - ceil(slots * RESERVED_SHARE).toInt()) else slots

    private fun isPresent(
        load: CostClassLoad,
        nowNanos: Long,
    ): Boolean = load.isPresent(nowNanos, settings.reserveMs)

    // A quarter of the queue is left to each class that has calls, because a flood of one class with a high priority
    // would otherwise push the other one out before it gets its slot.
    private fun isFull(
        isLong: Boolean,
        nowNanos: Long,
    ): Boolean {
        val reserved = if (isPresent(if (isLong) short else long, nowNanos)) queueShare() else 0
        val size = if (isLong) queue.longSize else queue.shortSize
        return queue.size >= settings.maxQueue || size >= settings.maxQueue - reserved
    }

    private fun queueShare(): Int = (settings.maxQueue * RESERVED_SHARE).toInt()

    private fun makeRoom(
        call: AdmissionCall,
        nowNanos: Long,
        events: AdmissionEvents,
    ): Boolean {
        val isTotal = queue.size >= settings.maxQueue
        // Under overload the newest call is next, so a call of the same priority that waits longest makes room.
        val lowest = if (isOverloaded(loadOf(call), nowNanos)) call.priority else CallPriority.entries.getOrNull(call.priority.ordinal + 1)
        val dropped =
            lowest?.let {
                queue.dropCandidate(
                    atMost = it,
                    fromShort = !call.long || isTotal && queue.shortSize > queueShare(),
                    fromLong = call.long || isTotal && queue.longSize > queueShare(),
                )
            } ?: return false
        events.dropped(dropped, reject(dropped, RejectReason.QUEUE_FULL, nowNanos))
        return true
    }

    private fun dropOld(
        nowNanos: Long,
        events: AdmissionEvents,
    ) {
        for (call in queue.takeIf { dropReason(it, nowNanos) != null }) {
            events.dropped(call, reject(call, dropReason(call, nowNanos) ?: RejectReason.QUEUE_TIME, nowNanos))
        }
    }

    private fun dropReason(
        call: AdmissionCall,
        nowNanos: Long,
    ): RejectReason? =
        when {
            call.deadline.isExpired(nowNanos) -> RejectReason.DEADLINE
            nowNanos - call.queuedAtNanos > maxWaitNanos(call, nowNanos) -> RejectReason.QUEUE_TIME
            else -> null
        }

    // Calls of high priority keep the long limit, so that those of low priority are dropped first.
    private fun maxWaitNanos(
        call: AdmissionCall,
        nowNanos: Long,
    ): Double {
        val slotTimeNanos = slotTimeNanos(call.long, nowNanos)
        return if (call.priority == CallPriority.HIGH || !isOverloaded(loadOf(call), nowNanos)) {
            maxOf(settings.intervalMs * NANOS_PER_MILLI.toDouble(), settings.intervalInSlotTimes * slotTimeNanos)
        } else {
            maxOf(settings.targetMs * NANOS_PER_MILLI.toDouble(), settings.targetInSlotTimes * slotTimeNanos)
        }
    }

    /** Mean time until the next slot of the class becomes free. */
    private fun slotTimeNanos(
        isLong: Boolean,
        nowNanos: Long,
    ): Double = if (isLong) long.meanNanos / longLimit(limit.value, nowNanos) else short.meanNanos / limit.value

    private fun loadOf(call: AdmissionCall): CostClassLoad = if (call.long) long else short

    private fun isOverloaded(
        load: CostClassLoad,
        nowNanos: Long,
    ): Boolean = load.lastEmptyNanos != Long.MIN_VALUE && nowNanos - load.lastEmptyNanos > settings.intervalMs * NANOS_PER_MILLI

    private fun learn(
        call: AdmissionCall,
        nowNanos: Long,
    ) {
        val durationNanos = (nowNanos - call.startedAtNanos).coerceAtLeast(1).toDouble()
        loadOf(call).add(durationNanos)
        val usualNanos = costs.statsOf(call).meanNanos
        if (usualNanos > 0) limit.add(durationNanos / usualNanos, running, nowNanos)
        costs.add(call, durationNanos)
    }

    private fun reject(
        call: AdmissionCall,
        reason: RejectReason,
        nowNanos: Long,
    ): AdmissionResult.Rejected {
        call.state = AdmissionState.DONE
        val ahead = if (call.long) queue.longSize else queue.shortSize
        val waitMs = (ahead + 1) * slotTimeNanos(call.long, nowNanos) / NANOS_PER_MILLI
        return AdmissionResult.Rejected(reason, waitMs.toLong().coerceIn(settings.minRetryAfterMs, settings.maxRetryAfterMs))
    }

    private companion object {
        const val RESERVED_SHARE = 0.25
    }
}
