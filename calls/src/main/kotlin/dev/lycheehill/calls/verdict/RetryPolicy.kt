package dev.lycheehill.calls.verdict

/** Decides what follows an attempt without a usable answer. Implementations are thread-safe. */
interface RetryPolicy {
    /** Counts a call of the service, [isChild] if a running request makes it. Called once, before the first attempt. */
    fun onCall(
        nowNanos: Long,
        isChild: Boolean = false,
    )

    /** Decides about [attempt]. A retry takes one unit from the budget and from the allowance of the attempt. */
    fun decide(
        attempt: FailedAttempt,
        nowNanos: Long,
    ): RetryDecision
}
