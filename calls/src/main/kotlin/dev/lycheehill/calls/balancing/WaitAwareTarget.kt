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

    // Time of the last response, or the start of the first call after the target had none in flight.
    private var unansweredSinceNanos = 0L

    /** Time in nanoseconds until which the target is left out after a failed connect. */
    var backoffUntilNanos = Long.MIN_VALUE / 2
        private set

    /** Mean duration of calls at the target in nanoseconds, as last reported by the node of the target; 0 if unknown. */
    var serviceNanos = 0.0
        private set

    private var connectFailures = 0
    private var failureShare = 0.0
    private var othersInFlight = 0
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
     * Records that a call has ended without a response after [latencyNanos]. A call that ended early does not count, because a
     * caller that cancels says nothing about the target.
     */
    fun onNoAnswer(
        latencyNanos: Long,
        meanServiceNanos: Double,
    ) {
        if (latencyNanos > maxSilenceNanos(if (serviceNanos > 0) serviceNanos else meanServiceNanos)) window = max(1.0, window / 2)
    }

    /** Returns whether several calls are in flight and no response has arrived for much longer than a call takes. */
    private fun isUnresponsive(
        nowNanos: Long,
        usualNanos: Double,
    ): Boolean {
        if (inFlight < settings.minSilentCalls) return false
        return nowNanos - unansweredSinceNanos > maxSilenceNanos(usualNanos)
    }

    // Time without a response after which a call that usually takes usualNanos counts as unanswered.
    private fun maxSilenceNanos(usualNanos: Double): Double =
        max(settings.minSilenceMs * NANOS_PER_MILLI.toDouble(), usualNanos * settings.minSilenceInDurations)

    fun onReport(
        report: LoadReport,
        nowNanos: Long,
    ) {
        othersInFlight = max(0, report.inFlight + report.queued - inFlight)
        if (report.slots > 0) slots = report.slots
        if (report.latencyNanos > 0) serviceNanos = report.latencyNanos.toDouble()
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

    /** Returns the expected duration in nanoseconds of a call sent now. [meanServiceNanos] replaces an unknown duration. */
    fun expectedNanos(
        nowNanos: Long,
        meanServiceNanos: Double,
    ): Double {
        val ageMs = (nowNanos - reportedAtNanos) / NANOS_PER_MILLI.toDouble()
        val weight = if (reportedAtNanos == 0L) 0.0 else HALF.pow(ageMs / settings.reportHalfLifeMs)
        val estimatedInFlight = inFlight + othersInFlight * weight
        // An old report approaches the mean of the service, so that a target that was slow is tried again.
        val expectedServiceNanos = if (serviceNanos > 0) serviceNanos * weight + meanServiceNanos * (1 - weight) else meanServiceNanos
        val slotShare = estimatedInFlight / max(1, slots)
        val busyMultiplier = 1 + BASE_SLOPE * slotShare + max(0.0, slotShare - settings.busyShare) * settings.busyFactor
        val coldMultiplier = if (info.cold) settings.coldFactor else 1.0
        val silentMultiplier = if (isUnresponsive(nowNanos, expectedServiceNanos)) settings.silentFactor else 1.0
        return expectedServiceNanos * busyMultiplier * coldMultiplier * silentMultiplier * (1 + failureShare * settings.failureFactor)
    }

    private companion object {
        const val HALF = 0.5

        // Gives targets with more free slots a slight preference.
        const val BASE_SLOPE = 0.3
        const val MAX_DOUBLINGS = 5
    }
}
