package dev.lycheehill.calls.verdict

/** Decides whether a failed attempt is followed by another one. Implementations are thread-safe. */
interface RetryPolicy {
    /** Counts a call to the service. [isChild] tells whether a running request makes the call. Called once, before the first attempt. */
    fun onCall(
        nowNanos: Long,
        isChild: Boolean = false,
    )

    /** Returns the decision on [attempt]. A retry takes one unit from the budget and one from the allowance of the attempt. */
    fun decide(
        attempt: FailedAttempt,
        nowNanos: Long,
    ): RetryDecision
}
