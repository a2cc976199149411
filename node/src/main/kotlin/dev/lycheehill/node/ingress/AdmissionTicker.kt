package dev.lycheehill.node.ingress

import dev.lycheehill.calls.admission.AdmissionControl
import dev.lycheehill.core.time.TimerService
import java.util.concurrent.atomic.AtomicBoolean

/** Calls [AdmissionControl.onTick] periodically while calls are queued. No timer runs while the queue is empty. Thread-safe. */
internal class AdmissionTicker(
    private val admission: AdmissionControl,
    private val timers: TimerService,
    private val periodMs: Long,
) {
    private val isScheduled = AtomicBoolean()

    /** Starts the periodic ticks, unless they run already. */
    fun onQueued() {
        if (isScheduled.compareAndSet(false, true)) timers.after(periodMs, ::tick)
    }

    private fun tick() {
        isScheduled.set(false)
        admission.onTick(timers.nowNanos())
        if (admission.queued > 0) onQueued()
    }
}
