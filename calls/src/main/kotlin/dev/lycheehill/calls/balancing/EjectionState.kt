package dev.lycheehill.calls.balancing

import dev.lycheehill.core.time.NANOS_PER_MILLI

/**
 * Consecutive failures and ejection of one target. Written under the lock of the picker; [isEjected], [isAffectedBySuccess] and
 * [mayClaimTrial] may be read without the lock.
 */
internal class EjectionState(
    private val settings: EjectionSettings,
) {
    @Volatile
    var isEjected = false
        private set

    @Volatile
    private var failuresInRow = 0
    private var ejections = 0

    @Volatile
    private var nextTrialNanos = 0L
    private var trialStartNanos = 0L
    private var isTrialPending = false
    private var readmittedNanos = 0L

    /** Counts a consecutive failure. Returns whether the target now has enough consecutive failures to be ejected. */
    fun onFailure(): Boolean = ++failuresInRow >= settings.consecutiveFailures

    /** Returns whether a success would change this state; false for a healthy target. */
    fun isAffectedBySuccess(): Boolean = isEjected || failuresInRow > 0

    fun onSuccess() {
        failuresInRow = 0
    }

    /** Ejects the target. An ejection within a minute of the previous readmission lasts longer than the previous one, up to a maximum. */
    fun eject(nowNanos: Long) {
        if (!isEjected && nowNanos - readmittedNanos > REPEATED_EJECTION_WINDOW_MS * NANOS_PER_MILLI) ejections = 0
        ejections++
        isEjected = true
        isTrialPending = false
        nextTrialNanos = nowNanos + settings.durationMs(ejections) * NANOS_PER_MILLI
    }

    /**
     * Claims the trial call and returns true, if a trial is due. If the trial has not ended after the trial timeout, the next trial is
     * due.
     */
    fun claimTrial(nowNanos: Long): Boolean {
        if (!isEjected || nowNanos - nextTrialNanos < 0) return false
        isTrialPending = true
        trialStartNanos = nowNanos
        nextTrialNanos = nowNanos + settings.trialTimeoutMs * NANOS_PER_MILLI
        return true
    }

    /** Returns whether a trial may be due. Read without the lock; [claimTrial] confirms the result. */
    fun mayClaimTrial(nowNanos: Long): Boolean = isEjected && nowNanos - nextTrialNanos >= 0

    /** Returns whether a call that started at [startNanos] decides the trial. Only calls that started after the claim decide the trial. */
    fun decidesTrial(startNanos: Long): Boolean = isTrialPending && startNanos - trialStartNanos >= 0

    fun readmit(nowNanos: Long) {
        isEjected = false
        isTrialPending = false
        failuresInRow = 0
        readmittedNanos = nowNanos
    }

    private companion object {
        const val REPEATED_EJECTION_WINDOW_MS = 60_000L
    }
}
