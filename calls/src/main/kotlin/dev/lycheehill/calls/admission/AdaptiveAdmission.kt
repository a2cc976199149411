package dev.lycheehill.calls.admission

import dev.lycheehill.calls.limits.RequestRateLimiter
import dev.lycheehill.core.time.NANOS_PER_MILLI
import kotlin.math.ceil

/**
 * Admission control with an adaptive concurrency limit. Calls beyond the limit wait in a queue by priority.
 *
 * A cost class is served first in, first out while its queue has been empty at some time within the last
 * [AdaptiveAdmissionSettings.intervalMs]. Otherwise the class counts as overloaded: the newest call is served first, and calls
 * that have waited longer than [AdaptiveAdmissionSettings.targetMs] are dropped (adaptive LIFO with the times of CoDel).
 *
 * The lock of this object guards all state. Listeners are called outside the lock.
 */
class AdaptiveAdmission(
    private val settings: AdaptiveAdmissionSettings,
) : AdmissionControl {
    private val limit = ConcurrencyLimit(settings.slots)
    private val costs = CostClassifier()
    private val queue = CallQueue()
    private val rateLimiter = RequestRateLimiter()
    private var running = 0
    private var longRunning = 0
    private var wasLastStartedLong = false
    private val shortLoad = CostClassLoad()
    private val longLoad = CostClassLoad()

    override val inFlight: Int get() = synchronized(this) { running }
    override val queued: Int get() = synchronized(this) { queue.size }

    /** Number of calls that may run concurrently now, between 1 and the number of slots. */
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
            if (succeeded) recordDuration(call, nowNanos)
            running--
            if (call.isLong) longRunning--
            startQueued(nowNanos, events)
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
            // A slot can be kept free for a queued long call, so the removal of that call may let a short call start.
            startQueued(nowNanos, events)
        }
        events.deliver()
        return true
    }

    override fun onTick(nowNanos: Long) {
        val events = AdmissionEvents(nowNanos)
        synchronized(this) {
            dropOverdue(nowNanos, events)
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
            limit.setSlots(slots)
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

    private fun offerLocked(
        call: AdmissionCall,
        nowNanos: Long,
        events: AdmissionEvents,
    ): AdmissionResult {
        check(call.state == AdmissionState.NEW) { "the call has already been offered" }
        if (call.deadline.isExpired(nowNanos)) return reject(call, RejectReason.DEADLINE, nowNanos)
        call.isLong = costs.isLong(call)
        call.queuedAtNanos = nowNanos
        loadOf(call).onArrival(nowNanos)
        recordEmptyQueues(nowNanos)
        if (queue.size == 0 && hasFreeSlotFor(call.isLong, nowNanos)) return admit(call, nowNanos)
        if (isFull(call.isLong, nowNanos)) dropOverdue(nowNanos, events)
        if (isFull(call.isLong, nowNanos) && !evictFor(call, nowNanos, events)) return reject(call, RejectReason.QUEUE_FULL, nowNanos)
        call.state = AdmissionState.QUEUED
        queue.add(call)
        startQueued(nowNanos, events)
        return if (events.withdrawStart(call)) AdmissionResult.Admitted else AdmissionResult.Queued
    }

    private fun admit(
        call: AdmissionCall,
        nowNanos: Long,
    ): AdmissionResult {
        call.state = AdmissionState.RUNNING
        call.startedAtNanos = nowNanos
        rateLimiter.takeToken()
        running++
        if (call.isLong) longRunning++
        wasLastStartedLong = call.isLong
        return AdmissionResult.Admitted
    }

    private fun startQueued(
        nowNanos: Long,
        events: AdmissionEvents,
    ) {
        while (queue.size > 0) {
            val call =
                queue.takeNext(
                    shortAllowed = hasFreeSlotFor(isLong = false, nowNanos),
                    longAllowed = hasFreeSlotFor(isLong = true, nowNanos),
                    newestShort = isOverloaded(shortLoad, nowNanos),
                    newestLong = isOverloaded(longLoad, nowNanos),
                ) ?: break
            val reason = dropReason(call, nowNanos)
            if (reason == null) {
                admit(call, nowNanos)
                events.started(call)
            } else {
                events.dropped(call, reject(call, reason, nowNanos))
            }
        }
        recordEmptyQueues(nowNanos)
    }

    private fun recordEmptyQueues(nowNanos: Long) {
        if (queue.shortSize == 0) shortLoad.lastEmptyNanos = nowNanos
        if (queue.longSize == 0) longLoad.lastEmptyNanos = nowNanos
    }

    // Long calls leave a quarter of the slots free while short calls arrive. Short calls leave the last free slot to a
    // queued long call while no long call runs. With a single slot the classes take turns.
    private fun hasFreeSlotFor(
        isLong: Boolean,
        nowNanos: Long,
    ): Boolean {
        val slots = limit.value
        if (running >= slots || !rateLimiter.hasToken(nowNanos)) return false
        if (slots == 1) return if (isLong) !wasLastStartedLong || queue.shortSize == 0 else wasLastStartedLong || queue.longSize == 0
        if (!isLong) return running < slots - 1 || longRunning > 0 || queue.longSize == 0
        return longRunning < maxLongRunning(slots, nowNanos)
    }

    private fun maxLongRunning(
        slots: Int,
        nowNanos: Long,
    ): Int = if (hasRecentArrivals(shortLoad, nowNanos)) maxOf(1, slots - ceil(slots * RESERVED_SHARE).toInt()) else slots

    private fun hasRecentArrivals(
        load: CostClassLoad,
        nowNanos: Long,
    ): Boolean = load.hasRecentArrivals(nowNanos, settings.reserveMs)

    // A quarter of the queue is reserved for each class that receives calls. Without the reservation, a flood of
    // high-priority calls of one class would evict the queued calls of the other class before they get a slot.
    private fun isFull(
        isLong: Boolean,
        nowNanos: Long,
    ): Boolean {
        val reserved = if (hasRecentArrivals(if (isLong) shortLoad else longLoad, nowNanos)) reservedQueuePlaces() else 0
        val size = if (isLong) queue.longSize else queue.shortSize
        return queue.size >= settings.maxQueue || size >= settings.maxQueue - reserved
    }

    private fun reservedQueuePlaces(): Int = (settings.maxQueue * RESERVED_SHARE).toInt()

    private fun evictFor(
        call: AdmissionCall,
        nowNanos: Long,
        events: AdmissionEvents,
    ): Boolean {
        val isWholeQueueFull = queue.size >= settings.maxQueue
        // Under overload the newest call is served first, so the oldest queued call of the same priority may be evicted.
        val lowest = if (isOverloaded(loadOf(call), nowNanos)) call.priority else CallPriority.entries.getOrNull(call.priority.ordinal + 1)
        val dropped =
            lowest?.let {
                queue.takeForEviction(
                    atMost = it,
                    fromShort = !call.isLong || isWholeQueueFull && queue.shortSize > reservedQueuePlaces(),
                    fromLong = call.isLong || isWholeQueueFull && queue.longSize > reservedQueuePlaces(),
                )
            } ?: return false
        events.dropped(dropped, reject(dropped, RejectReason.QUEUE_FULL, nowNanos))
        return true
    }

    private fun dropOverdue(
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

    // High-priority calls keep the longer wait limit under overload, so that calls of lower priority are dropped first.
    private fun maxWaitNanos(
        call: AdmissionCall,
        nowNanos: Long,
    ): Double {
        val slotIntervalNanos = slotIntervalNanos(call.isLong, nowNanos)
        return if (call.priority == CallPriority.HIGH || !isOverloaded(loadOf(call), nowNanos)) {
            maxOf(settings.intervalMs * NANOS_PER_MILLI.toDouble(), settings.intervalInSlotTimes * slotIntervalNanos)
        } else {
            maxOf(settings.targetMs * NANOS_PER_MILLI.toDouble(), settings.targetInSlotTimes * slotIntervalNanos)
        }
    }

    /** Returns the mean time in nanoseconds between two calls of the class that may start: slots become free, and the rate is limited. */
    private fun slotIntervalNanos(
        isLong: Boolean,
        nowNanos: Long,
    ): Double {
        val freeSlotNanos = if (isLong) longLoad.meanNanos / maxLongRunning(limit.value, nowNanos) else shortLoad.meanNanos / limit.value
        return maxOf(freeSlotNanos, rateLimiter.intervalNanos)
    }

    private fun loadOf(call: AdmissionCall): CostClassLoad = if (call.isLong) longLoad else shortLoad

    private fun isOverloaded(
        load: CostClassLoad,
        nowNanos: Long,
    ): Boolean = load.lastEmptyNanos != Long.MIN_VALUE && nowNanos - load.lastEmptyNanos > settings.intervalMs * NANOS_PER_MILLI

    private fun recordDuration(
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
        val ahead = if (call.isLong) queue.longSize else queue.shortSize
        val waitMs = (ahead + 1) * slotIntervalNanos(call.isLong, nowNanos) / NANOS_PER_MILLI
        return AdmissionResult.Rejected(reason, waitMs.toLong().coerceIn(settings.minRetryAfterMs, settings.maxRetryAfterMs))
    }

    private companion object {
        const val RESERVED_SHARE = 0.25
    }
}
