package dev.lycheehill.calls.balancing

import dev.lycheehill.core.time.NANOS_PER_MILLI
import kotlin.math.max
import kotlin.math.pow

/** State of one target in [WaitAwarePicker]. Guarded by the lock of the picker. */
internal class WaitAwareTarget(
    override var info: TargetInfo,
    private val settings: WaitAwareSettings,
) : TargetHandle {
    /** Number of calls of this node that are in flight at the target. */
    var inFlight = 0
        private set

    // Time of the last response or, if later, the last time at which a call started while no other call of this node was in flight.
    private var unansweredSinceNanos = 0L

    /** Time in nanoseconds until which the target is in backoff after a failed connect. */
    var backoffUntilNanos = Long.MIN_VALUE / 2
        private set

    /** Mean duration of calls at the target in nanoseconds, as last reported by the node of the target; 0 if unknown. */
    var durationNanos = 0.0
        private set

    private var connectFailures = 0
    private var failureShare = 0.0

    // Calls of other nodes, running or queued, as last reported.
    private var otherNodesCalls = 0
    private var slots = info.slots
    private var reportedAtNanos = 0L

    // Largest number of calls of this node in flight at the target. Responses raise the window; a missing response halves it.
    private var window = settings.initialWindow

    fun isBackoffOver(nowNanos: Long): Boolean = nowNanos - backoffUntilNanos >= 0

    /** Whether the concurrency window allows another call to the target. */
    val isBelowWindow: Boolean get() = inFlight < window

    fun onStart(nowNanos: Long) {
        if (inFlight == 0) unansweredSinceNanos = nowNanos
        inFlight++
    }

    fun onEnd(
        nowNanos: Long,
        answered: Boolean,
    ) {
        inFlight--
        if (!answered) return
        unansweredSinceNanos = nowNanos
        window = minOf(window + settings.windowGrowth, max(1, slots) * settings.maxWindowInSlots.toDouble())
    }

    /**
     * Records that a call has ended without a response after [latencyNanos]. A call that was cancelled before it counts as unanswered
     * is ignored, because such a cancellation gives no information about the target.
     */
    fun onNoAnswer(
        latencyNanos: Long,
        meanDurationNanos: Double,
    ) {
        if (latencyNanos > minSilenceNanos(if (durationNanos > 0) durationNanos else meanDurationNanos)) window = max(1.0, window / 2)
    }

    /** Returns whether several calls are in flight and no response has arrived for much longer than a call takes. */
    private fun isUnresponsive(
        nowNanos: Long,
        usualNanos: Double,
    ): Boolean {
        if (inFlight < settings.minUnansweredCalls) return false
        return nowNanos - unansweredSinceNanos > minSilenceNanos(usualNanos)
    }

    // Time without a response after which a call that usually takes usualNanos counts as unanswered.
    private fun minSilenceNanos(usualNanos: Double): Double =
        max(settings.minSilenceMs * NANOS_PER_MILLI.toDouble(), usualNanos * settings.minSilenceInDurations)

    fun onReport(
        report: LoadReport,
        nowNanos: Long,
    ) {
        otherNodesCalls = max(0, report.inFlight + report.queued - inFlight)
        if (report.slots > 0) slots = report.slots
        if (report.latencyNanos > 0) durationNanos = report.latencyNanos.toDouble()
        reportedAtNanos = nowNanos
        connectFailures = 0
    }

    fun onAnswer(failed: Boolean) {
        failureShare += ((if (failed) 1.0 else 0.0) - failureShare) * settings.failureSmoothing
    }

    fun onUnreachable(nowNanos: Long) {
        val backoffMs = minOf(settings.maxBackoffMs, settings.initialBackoffMs shl minOf(connectFailures, MAX_DOUBLINGS))
        connectFailures++
        backoffUntilNanos = nowNanos + backoffMs * NANOS_PER_MILLI
    }

    /** Returns the expected duration in nanoseconds of a call sent now. [meanDurationNanos] replaces an unknown duration. */
    fun expectedNanos(
        nowNanos: Long,
        meanDurationNanos: Double,
    ): Double {
        val ageMs = (nowNanos - reportedAtNanos) / NANOS_PER_MILLI.toDouble()
        val weight = if (reportedAtNanos == 0L) 0.0 else HALF.pow(ageMs / settings.reportHalfLifeMs)
        val estimatedInFlight = inFlight + otherNodesCalls * weight
        // The older the report, the closer the assumed duration is to the mean over all targets, so that a slow target is tried again.
        val expectedDurationNanos = if (durationNanos > 0) durationNanos * weight + meanDurationNanos * (1 - weight) else meanDurationNanos
        val slotShare = estimatedInFlight / max(1, slots)
        val busyMultiplier = 1 + FREE_SLOT_PREFERENCE * slotShare + max(0.0, slotShare - settings.busyShare) * settings.busyFactor
        val coldMultiplier = if (info.cold) settings.coldFactor else 1.0
        val silentMultiplier = if (isUnresponsive(nowNanos, expectedDurationNanos)) settings.silentFactor else 1.0
        return expectedDurationNanos * busyMultiplier * coldMultiplier * silentMultiplier * (1 + failureShare * settings.failureFactor)
    }

    private companion object {
        const val HALF = 0.5

        // Growth of the expected time with the share of the slots in use, a slight preference for targets with more free slots.
        const val FREE_SLOT_PREFERENCE = 0.3
        const val MAX_DOUBLINGS = 5
    }
}
