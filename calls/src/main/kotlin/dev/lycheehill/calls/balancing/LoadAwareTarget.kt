package dev.lycheehill.calls.balancing

import dev.lycheehill.core.time.NANOS_PER_MILLI
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.exp

/** State of one target in [LoadAwarePicker]. Statistics are written under the lock of this object and read without the lock. */
internal class LoadAwareTarget(
    @Volatile override var info: TargetInfo,
    private val settings: LoadAwareSettings,
) : TargetHandle {
    val ownInFlight = AtomicInteger()
    val ejection = EjectionState(settings.ejection)

    @Volatile private var rampStartNanos = 0L

    @Volatile private var isRampingUp = false

    @Volatile private var peakNanos = 0.0

    @Volatile private var lastSampleNanos = 0L

    /** Running estimate of the median latency in nanoseconds; 0 until the first sample. A few long calls hardly move the estimate. */
    @Volatile var medianEstimateNanos = 0.0
        private set

    @Volatile var samples = 0
        private set

    @Volatile private var otherNodesCalls = 0

    @Volatile private var reportedLatencyNanos = 0L

    @Volatile private var reportedAtNanos = 0L

    /** Starts the ramp-up of a cold target, unless a ramp-up is in progress. */
    fun startRampUp(nowNanos: Long) {
        if (isRampingUp) return
        rampStartNanos = nowNanos
        isRampingUp = true
    }

    fun endRampUpIfDone(nowNanos: Long) {
        if (isRampingUp && !info.cold && rampShare(nowNanos) >= 1.0) isRampingUp = false
    }

    /** Returns the share of its weight that the target gets now, from 0 to 1. */
    fun rampShare(nowNanos: Long): Double {
        if (!isRampingUp) return 1.0
        val progress = (nowNanos - rampStartNanos) / (settings.rampUpMs * NANOS_PER_MILLI).toDouble()
        return (settings.rampUpStartShare + (1 - settings.rampUpStartShare) * progress).coerceIn(settings.rampUpStartShare, 1.0)
    }

    /** Returns the estimated calls in flight at the target: those of this node, plus the reported others with a decaying weight. */
    fun inFlight(nowNanos: Long): Double = ownInFlight.get() + otherNodesCalls * reportWeight(nowNanos)

    /** Returns the estimated latency times the calls in flight including the next one. [medianNanos] replaces an unknown latency. */
    fun score(
        nowNanos: Long,
        medianNanos: Double,
    ): Double {
        val weight = reportWeight(nowNanos)
        val observed = observedLatencyNanos(nowNanos, medianNanos)
        val share = if (reportedLatencyNanos > 0) settings.freshReportWeight * weight else 0.0
        // A false report must not outweigh the latency measured by this node, so the reported latency is kept within a factor of it.
        val reported = reportedLatencyNanos.toDouble().coerceIn(observed / MAX_REPORT_RATIO, observed * MAX_REPORT_RATIO)
        val latency = observed * (1 - share) + reported * share
        return maxOf(latency, 1.0) * (ownInFlight.get() + otherNodesCalls * weight + 1)
    }

    private fun observedLatencyNanos(
        nowNanos: Long,
        medianNanos: Double,
    ): Double {
        val peak = peakNanos
        if (peak <= 0.0) return medianNanos
        val idle = nowNanos - lastSampleNanos
        if (peak <= medianNanos || idle <= 0) return peak
        return medianNanos + (peak - medianNanos) * halfLifeWeight(idle, settings.idleHalfLifeMs)
    }

    private fun reportWeight(nowNanos: Long): Double {
        if (otherNodesCalls == 0 && reportedLatencyNanos == 0L) return 0.0
        return halfLifeWeight(nowNanos - reportedAtNanos, settings.reportHalfLifeMs)
    }

    @Synchronized
    fun onSuccess(
        nowNanos: Long,
        latencyNanos: Long,
    ) {
        updateMedian(latencyNanos.toDouble())
        updatePeak(nowNanos, minOf(latencyNanos.toDouble(), medianEstimateNanos * MAX_PEAK_TO_MEDIAN))
    }

    /** Records a failure as a latency of at least twice the peak, so that a target that fails fast does not look fast. */
    @Synchronized
    fun onFailure(
        nowNanos: Long,
        latencyNanos: Long,
    ) = updatePeak(nowNanos, minOf(MAX_PENALTY_NANOS, maxOf(latencyNanos.toDouble(), 2 * peakNanos)))

    /** Records a cancelled attempt. The duration is a lower bound of the latency, so it can only raise the estimates. */
    @Synchronized
    fun onCancelled(
        nowNanos: Long,
        latencyNanos: Long,
    ) {
        if (latencyNanos > medianEstimateNanos) onSuccess(nowNanos, latencyNanos)
    }

    /** Records a shed call. The target counts as full, with a weight that decays like that of a load report. */
    @Synchronized
    fun onShed(nowNanos: Long) {
        otherNodesCalls = maxOf(0, 2 * info.slots - ownInFlight.get())
        reportedAtNanos = nowNanos
    }

    @Synchronized
    fun onReport(
        nowNanos: Long,
        load: LoadReport,
    ) {
        // A false report must not keep all calls away for long, so twice the slots of the target bound the reported calls.
        otherNodesCalls = (load.inFlight.coerceIn(0, 2 * info.slots) - ownInFlight.get()).coerceAtLeast(0)
        reportedLatencyNanos = load.latencyNanos.coerceIn(0, MAX_PENALTY_NANOS.toLong())
        reportedAtNanos = nowNanos
    }

    /** Replaces the latency statistics before a readmission by [latencyNanos], the latency of the trial call. */
    @Synchronized
    fun resetLatency(
        nowNanos: Long,
        latencyNanos: Long,
    ) {
        medianEstimateNanos = latencyNanos.toDouble()
        peakNanos = latencyNanos.toDouble()
        lastSampleNanos = nowNanos
        samples = 1
    }

    private fun updateMedian(sample: Double) {
        samples = minOf(samples + 1, MAX_SAMPLES)
        medianEstimateNanos =
            when {
                medianEstimateNanos == 0.0 -> sample
                sample > medianEstimateNanos -> minOf(sample, medianEstimateNanos * MEDIAN_STEP)
                else -> maxOf(sample, medianEstimateNanos / MEDIAN_STEP)
            }
    }

    private fun updatePeak(
        nowNanos: Long,
        sample: Double,
    ) {
        val keep = exp(-(nowNanos - lastSampleNanos).coerceAtLeast(0) / (settings.latencyDecayMs * NANOS_PER_MILLI).toDouble())
        peakNanos = if (sample >= peakNanos) sample else peakNanos * keep + sample * (1 - keep)
        lastSampleNanos = nowNanos
    }

    private companion object {
        const val MAX_PEAK_TO_MEDIAN = 5.0
        const val MEDIAN_STEP = 1.15
        const val MAX_REPORT_RATIO = 3.0
        const val MAX_SAMPLES = 1_000_000
        const val MAX_PENALTY_NANOS = 10_000.0 * NANOS_PER_MILLI
        const val LN_2 = 0.6931471805599453

        fun halfLifeWeight(
            ageNanos: Long,
            halfLifeMs: Long,
        ): Double = exp(-LN_2 * ageNanos.coerceAtLeast(0) / (halfLifeMs * NANOS_PER_MILLI))
    }
}
