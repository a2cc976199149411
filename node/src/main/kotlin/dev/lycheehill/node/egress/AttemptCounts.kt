package dev.lycheehill.node.egress

import dev.lycheehill.calls.verdict.FailedAttempt
import dev.lycheehill.calls.verdict.RetryDecision

/** How often one call has been sent, and why more than once. */
internal class AttemptCounts {
    /** Attempts of any kind. */
    var attempts = 0
        private set

    /** Attempts that reached a backend server. */
    var arrivals = 0
        private set

    /** Attempts that followed a refusal for load. */
    var moves = 0
        private set

    /** Attempts that followed a target that was not available. */
    var detours = 0
        private set

    /** Number of the latest attempt among those that count as tries at a backend server; see [FailedAttempt.number]. */
    val tries: Int get() = attempts - moves - detours

    fun onAttempt() {
        attempts++
    }

    fun onEnd(outcome: CallFailure) {
        if (outcome.arrived) arrivals++
    }

    /** The call goes on after [outcome] as [choice] says. */
    fun onNext(
        outcome: CallFailure,
        choice: RetryDecision.OtherTarget,
    ) {
        if (!choice.isMove) return
        if (outcome.available) moves++ else detours++
    }
}
