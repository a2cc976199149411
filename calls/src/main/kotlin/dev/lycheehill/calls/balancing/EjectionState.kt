package dev.lycheehill.calls.balancing

import dev.lycheehill.core.time.NANOS_PER_MILLI

/** Failures and ejection of one target. Written under the lock of the picker; [needsSuccess] is read without it. */
internal class EjectionState(
    private val settings: EjectionSettings,
) {
    @Volatile
    var isEjected = false
        private set

    @Volatile
    private var failures = 0
    private var ejections = 0

    @Volatile
    private var nextTrialNanos = 0L
    private var trialNanos = 0L
    private var trialOpen = false
    private var healthySinceNanos = 0L

    /** Counts a failure in a row. Returns whether the target is an outlier by failures. */
    fun onFailure(): Boolean = ++failures >= settings.consecutiveFailures

    /** Whether a success changes anything; false for a healthy target. */
    fun needsSuccess(): Boolean = isEjected || failures > 0

    fun onSuccess() {
        failures = 0
    }

    /** Ejects the target. Each ejection within a minute of the last one lasts longer. */
    fun eject(nowNanos: Long) {
        if (!isEjected && nowNanos - healthySinceNanos > FORGET_MS * NANOS_PER_MILLI) ejections = 0
        ejections++
        isEjected = true
        trialOpen = false
        nextTrialNanos = nowNanos + settings.durationMs(ejections) * NANOS_PER_MILLI
    }

    /** Claims the trial call, if one is due. An unused claim lapses. */
    fun claimTrial(nowNanos: Long): Boolean {
        if (!isEjected || nowNanos - nextTrialNanos < 0) return false
        trialOpen = true
        trialNanos = nowNanos
        nextTrialNanos = nowNanos + settings.trialTimeoutMs * NANOS_PER_MILLI
        return true
    }

    /** Whether a trial may be due; read without the lock and confirmed by [claimTrial]. */
    fun mayClaimTrial(nowNanos: Long): Boolean = isEjected && nowNanos - nextTrialNanos >= 0

    /** Whether a call that started at [startNanos] decides the trial. Calls from before the ejection do not. */
    fun decidesTrial(startNanos: Long): Boolean = trialOpen && startNanos - trialNanos >= 0

    fun readmit(nowNanos: Long) {
        isEjected = false
        trialOpen = false
        failures = 0
        healthySinceNanos = nowNanos
    }

    private companion object {
        const val FORGET_MS = 60_000L
    }
}
