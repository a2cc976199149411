package dev.lycheehill.calls.balancing

import dev.lycheehill.core.time.NANOS_PER_MILLI
import kotlin.math.max
import kotlin.math.pow

/** What [WaitAwarePicker] knows about one target. Guarded by the lock of the picker. */
internal class WaitAwareTarget(
    override var info: TargetInfo,
    private val settings: WaitAwareSettings,
) : TargetHandle {
    /** Calls of this node that the target holds. */
    var inFlight = 0
        private set

    // The last answer, or the start of the oldest call since the target held none.
    private var unansweredSinceNanos = 0L

    /** Time until which the target is left out. */
    var downUntilNanos = Long.MIN_VALUE / 2
        private set

    /** Duration of a call at the target, as its node reported it last; 0 when unknown. */
    var serviceNanos = 0.0
        private set

    private var failures = 0
    private var failureShare = 0.0
    private var othersInFlight = 0
    private var slots = info.slots
    private var reportedAtNanos = 0L

    // Calls that this node keeps at the target at most. It grows with the answers and is halved when one does not come.
    private var window = settings.initialWindow

    fun isUp(nowNanos: Long): Boolean = nowNanos - downUntilNanos >= 0

    /** Whether the target has answered enough of the earlier calls to get another one. */
    val hasRoom: Boolean get() = inFlight < window

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

    /** A call has ended after [latencyNanos] without an answer. A caller that leaves early says nothing about the target. */
    fun onNoAnswer(
        latencyNanos: Long,
        typicalNanos: Double,
    ) {
        if (latencyNanos > silenceNanos(if (serviceNanos > 0) serviceNanos else typicalNanos)) window = max(1.0, window / 2)
    }

    /** Whether several calls have been without any answer for much longer than a call takes. */
    private fun isSilent(
        nowNanos: Long,
        usualNanos: Double,
    ): Boolean {
        if (inFlight < settings.minSilentCalls) return false
        return nowNanos - unansweredSinceNanos > silenceNanos(usualNanos)
    }

    // Time after which a call that usually takes usualNanos is much later than that.
    private fun silenceNanos(usualNanos: Double): Double =
        max(settings.minSilenceMs * NANOS_PER_MILLI.toDouble(), usualNanos * settings.minSilenceInDurations)

    fun onReport(
        report: LoadReport,
        nowNanos: Long,
    ) {
        othersInFlight = max(0, report.inFlight + report.queued - inFlight)
        if (report.slots > 0) slots = report.slots
        if (report.latencyNanos > 0) serviceNanos = report.latencyNanos.toDouble()
        reportedAtNanos = nowNanos
        failures = 0
    }

    fun onAnswer(failed: Boolean) {
        failureShare += ((if (failed) 1.0 else 0.0) - failureShare) * settings.failureSmoothing
    }

    fun onUnreachable(nowNanos: Long) {
        val downMs = minOf(settings.maxBackoffMs, settings.initialBackoffMs shl minOf(failures, MAX_DOUBLINGS))
        failures++
        downUntilNanos = nowNanos + downMs * NANOS_PER_MILLI
    }

    /** Time in which a call sent now is expected to end; [typicalNanos] stands in for an unknown duration. */
    fun expectedNanos(
        nowNanos: Long,
        typicalNanos: Double,
    ): Double {
        val ageMs = (nowNanos - reportedAtNanos) / NANOS_PER_MILLI.toDouble()
        val weight = if (reportedAtNanos == 0L) 0.0 else HALF.pow(ageMs / settings.reportHalfLifeMs)
        val held = inFlight + othersInFlight * weight
        // An old figure approaches the mean of the service, so that a target that was slow is tried again.
        val known = if (serviceNanos > 0) serviceNanos * weight + typicalNanos * (1 - weight) else typicalNanos
        val share = held / max(1, slots)
        val busy = 1 + BASE_SLOPE * share + max(0.0, share - settings.busyShare) * settings.busyFactor
        val cold = if (info.cold) settings.coldFactor else 1.0
        val silent = if (isSilent(nowNanos, known)) settings.silentFactor else 1.0
        return known * busy * cold * silent * (1 + failureShare * settings.failureFactor)
    }

    private companion object {
        const val HALF = 0.5

        // Among targets with free slots the emptier one is preferred slightly.
        const val BASE_SLOPE = 0.3
        const val MAX_DOUBLINGS = 5
    }
}
