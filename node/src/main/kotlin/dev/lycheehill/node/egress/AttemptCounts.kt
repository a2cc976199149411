package dev.lycheehill.node.egress

import dev.lycheehill.calls.verdict.FailedAttempt
import dev.lycheehill.calls.verdict.RetryDecision

/** Counts the attempts of one call by the cause of each further attempt. */
internal class AttemptCounts {
    /** Number of all attempts. */
    var attempts = 0
        private set

    /** Number of attempts whose request reached a backend server. */
    var arrivals = 0
        private set

    /** Number of attempts at another target after a target shed the request because of its load. */
    var moves = 0
        private set

    /** Number of attempts at another target after an unavailable target. */
    var detours = 0
        private set

    /** Number of attempts that count towards the limit of attempts per call; see [FailedAttempt.number]. */
    val countedAttempts: Int get() = attempts - moves - detours

    fun onAttemptStart() {
        attempts++
    }

    fun onAttemptEnd(failure: CallFailure) {
        if (failure.arrived) arrivals++
    }

    /** Counts the attempt that follows [failure] as a move or a detour, unless [decision] is a retry. */
    fun onRetry(
        failure: CallFailure,
        decision: RetryDecision.OtherTarget,
    ) {
        if (!decision.isMove) return
        if (failure.available) moves++ else detours++
    }
}
