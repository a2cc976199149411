package dev.lycheehill.calls.balancing

import dev.lycheehill.core.time.NANOS_PER_MILLI
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.exp

/** What one node knows of one target. Statistics are written under the lock of the state and read without it. */
internal class LoadAwareTarget(
    @Volatile override var info: TargetInfo,
    private val settings: LoadAwareSettings,
) : TargetHandle {
    val own = AtomicInteger()
    val ejection = EjectionState(settings.ejection)

    @Volatile private var rampStartNanos = 0L

    @Volatile private var ramping = false

    @Volatile private var peakNanos = 0.0

    @Volatile private var lastSampleNanos = 0L

    /** Running median of the latency; 0 until the first sample. A few long calls hardly move it. */
    @Volatile var typicalNanos = 0.0
        private set

    @Volatile var samples = 0
        private set

    @Volatile private var others = 0

    @Volatile private var reportedLatencyNanos = 0L

    @Volatile private var reportNanos = 0L

    /** Starts the ramp-up of a cold target, unless it is in progress. */
    fun startRampUp(nowNanos: Long) {
        if (ramping) return
        rampStartNanos = nowNanos
        ramping = true
    }

    fun endRampUpIfDone(nowNanos: Long) {
        if (ramping && !info.cold && rampShare(nowNanos) >= 1.0) ramping = false
    }

    /** Share of its weight that the target may get now. */
    fun rampShare(nowNanos: Long): Double {
        if (!ramping) return 1.0
        val progress = (nowNanos - rampStartNanos) / (settings.rampUpMs * NANOS_PER_MILLI).toDouble()
        return (settings.rampUpStartShare + (1 - settings.rampUpStartShare) * progress).coerceIn(settings.rampUpStartShare, 1.0)
    }

    /** Calls that the target runs, as far as known: those of this node and the decaying rest of the last report. */
    fun inFlight(nowNanos: Long): Double = own.get() + others * reportWeight(nowNanos)

    /** Estimated latency times the calls in flight with one more. [medianNanos] stands for an unknown latency. */
    fun score(
        nowNanos: Long,
        medianNanos: Double,
    ): Double {
        val weight = reportWeight(nowNanos)
        val observed = observedLatency(nowNanos, medianNanos)
        val share = if (reportedLatencyNanos > 0) settings.freshReportWeight * weight else 0.0
        // A false report must not outweigh the node's own observation, so it is bounded by a multiple of it.
        val reported = reportedLatencyNanos.toDouble().coerceIn(observed / MAX_REPORT_RATIO, observed * MAX_REPORT_RATIO)
        val latency = observed * (1 - share) + reported * share
        return maxOf(latency, 1.0) * (own.get() + others * weight + 1)
    }

    private fun observedLatency(
        nowNanos: Long,
        medianNanos: Double,
    ): Double {
        val peak = peakNanos
        if (peak <= 0.0) return medianNanos
        val idle = nowNanos - lastSampleNanos
        if (peak <= medianNanos || idle <= 0) return peak
        return medianNanos + (peak - medianNanos) * halved(idle, settings.idleHalfLifeMs)
    }

    private fun reportWeight(nowNanos: Long): Double {
        if (others == 0 && reportedLatencyNanos == 0L) return 0.0
        return halved(nowNanos - reportNanos, settings.reportHalfLifeMs)
    }

    @Synchronized
    fun onSuccess(
        nowNanos: Long,
        latencyNanos: Long,
    ) {
        addTypical(latencyNanos.toDouble())
        addPeak(nowNanos, minOf(latencyNanos.toDouble(), typicalNanos * PEAK_OVER_TYPICAL))
    }

    /** A failure counts as twice the known latency, so that a target that fails fast does not look fast. */
    @Synchronized
    fun onFailure(
        nowNanos: Long,
        latencyNanos: Long,
    ) = addPeak(nowNanos, minOf(MAX_PENALTY_NANOS, maxOf(latencyNanos.toDouble(), 2 * peakNanos)))

    /** The duration of a cancelled attempt is a lower bound, so it can only raise the estimates. */
    @Synchronized
    fun onCancelled(
        nowNanos: Long,
        latencyNanos: Long,
    ) {
        if (latencyNanos > typicalNanos) onSuccess(nowNanos, latencyNanos)
    }

    /** A target that sheds is taken as full until the report fades. */
    @Synchronized
    fun onShed(nowNanos: Long) {
        others = maxOf(0, 2 * info.slots - own.get())
        reportNanos = nowNanos
    }

    @Synchronized
    fun onReport(
        nowNanos: Long,
        load: LoadReport,
    ) {
        // A false report must not keep all calls away for long, so it is bounded by what the target can hold.
        others = (load.inFlight.coerceIn(0, 2 * info.slots) - own.get()).coerceAtLeast(0)
        reportedLatencyNanos = load.latencyNanos.coerceIn(0, MAX_PENALTY_NANOS.toLong())
        reportNanos = nowNanos
    }

    /** Forgets the latency before a re-admission; [latencyNanos] is that of the trial call. */
    @Synchronized
    fun restart(
        nowNanos: Long,
        latencyNanos: Long,
    ) {
        typicalNanos = latencyNanos.toDouble()
        peakNanos = latencyNanos.toDouble()
        lastSampleNanos = nowNanos
        samples = 1
    }

    private fun addTypical(sample: Double) {
        samples = minOf(samples + 1, MAX_SAMPLES)
        typicalNanos =
            when {
                typicalNanos == 0.0 -> sample
                sample > typicalNanos -> minOf(sample, typicalNanos * TYPICAL_STEP)
                else -> maxOf(sample, typicalNanos / TYPICAL_STEP)
            }
    }

    private fun addPeak(
        nowNanos: Long,
        sample: Double,
    ) {
        val keep = exp(-(nowNanos - lastSampleNanos).coerceAtLeast(0) / (settings.latencyDecayMs * NANOS_PER_MILLI).toDouble())
        peakNanos = if (sample >= peakNanos) sample else peakNanos * keep + sample * (1 - keep)
        lastSampleNanos = nowNanos
    }

    private companion object {
        const val PEAK_OVER_TYPICAL = 5.0
        const val TYPICAL_STEP = 1.15
        const val MAX_REPORT_RATIO = 3.0
        const val MAX_SAMPLES = 1_000_000
        const val MAX_PENALTY_NANOS = 10_000.0 * NANOS_PER_MILLI
        const val LN_2 = 0.6931471805599453

        fun halved(
            ageNanos: Long,
            halfLifeMs: Long,
        ): Double = exp(-LN_2 * ageNanos.coerceAtLeast(0) / (halfLifeMs * NANOS_PER_MILLI))
    }
}
