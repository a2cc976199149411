package dev.lycheehill.calls.admission

import java.util.concurrent.atomic.AtomicInteger

/** Admission control without a limit: admits each call immediately. Baseline with which the other admission controls are compared. */
class NoLimitAdmission : AdmissionControl {
    private val running = AtomicInteger()

    override val inFlight: Int get() = running.get()
    override val queued: Int get() = 0

    override fun offer(
        call: AdmissionCall,
        nowNanos: Long,
    ): AdmissionResult {
        running.incrementAndGet()
        return AdmissionResult.Admitted
    }

    override fun onFinish(
        call: AdmissionCall,
        nowNanos: Long,
        succeeded: Boolean,
    ) {
        running.decrementAndGet()
    }

    override fun cancel(
        call: AdmissionCall,
        nowNanos: Long,
    ): Boolean = false

    override fun onTick(nowNanos: Long) = Unit

    override fun setSlots(
        slots: Int,
        nowNanos: Long,
    ) = Unit

    override fun setMaxRate(
        callsPerSecond: Double?,
        nowNanos: Long,
    ) = Unit
}
