package dev.lycheehill.node.ingress

import dev.lycheehill.calls.admission.AdmissionControl
import dev.lycheehill.core.time.TimerService
import java.util.concurrent.atomic.AtomicBoolean

/** Ticks the admission while calls wait, and not otherwise. Thread-safe. */
internal class AdmissionTicker(
    private val admission: AdmissionControl,
    private val timers: TimerService,
    private val periodMs: Long,
) {
    private val scheduled = AtomicBoolean()

    /** A call was queued. */
    fun onQueued() {
        if (scheduled.compareAndSet(false, true)) timers.after(periodMs, ::tick)
    }

    private fun tick() {
        scheduled.set(false)
        admission.onTick(timers.nowNanos())
        if (admission.queued > 0) onQueued()
    }
}
