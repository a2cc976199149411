package dev.lycheehill.calls.verdict

import dev.lycheehill.core.Verdict

/**
 * Retry policy that sends a failed call to another target within four limits: the attempts of the route, the deadline, the
 * retry allowance of the call tree and the retry budget of the service.
 *
 * A call that reached no backend server may be moved to another target within the deadline alone: up to [maxMoves] times after
 * targets that refused because of load, and up to [maxDetours] times after targets that were not available.
 *
 * @param defaultRetryAfterMs retry hint in milliseconds for callers, if the node of the target gave none.
 * @param countsChildCalls whether child calls add to the budget. They must not where the budget of the fleet is a share of the
 *   requests of clients, because a service may get several times as many calls from other services.
 */
class BudgetedRetryPolicy(
    private val budget: RetryBudget = RetryBudget(),
    private val defaultRetryAfterMs: Long = 1_000,
    private val maxMoves: Int = 0,
    private val maxDetours: Int = 0,
    private val countsChildCalls: Boolean = true,
) : RetryPolicy {
    override fun onCall(
        nowNanos: Long,
        isChild: Boolean,
    ) {
        if (countsChildCalls || !isChild) budget.onCall(nowNanos)
    }

    override fun decide(
        attempt: FailedAttempt,
        nowNanos: Long,
    ): RetryDecision {
        if (mayMove(attempt, nowNanos)) return RetryDecision.OtherTarget(delayMs = 0, isMove = true)
        val reason = giveUpReason(attempt, nowNanos)
        return if (reason == null) RetryDecision.OtherTarget(delayMs = 0) else giveUp(attempt, reason)
    }

    private fun mayMove(
        attempt: FailedAttempt,
        nowNanos: Long,
    ): Boolean = !attempt.arrived && attempt.repeatable && !attempt.deadline.isExpired(nowNanos) && hasMoveLeft(attempt)

    private fun hasMoveLeft(attempt: FailedAttempt): Boolean =
        if (attempt.available) attempt.moves < maxMoves else attempt.detours < maxDetours

    // A retry is acquired from the budget first and is not returned if another thread uses up the allowance in between. This
    // race can only reduce the number of retries.
    private fun giveUpReason(
        attempt: FailedAttempt,
        nowNanos: Long,
    ): GiveUpReason? =
        when {
            attempt.verdict == Verdict.RAN && !(attempt.serverError && attempt.idempotent) -> GiveUpReason.ANSWERED
            attempt.verdict == Verdict.MAY_HAVE_RUN && !attempt.idempotent -> GiveUpReason.MAY_HAVE_RUN
            !attempt.repeatable -> GiveUpReason.REFUSED
            attempt.deadline.isExpired(nowNanos) -> GiveUpReason.DEADLINE
            attempt.number >= attempt.maxAttempts -> GiveUpReason.ATTEMPTS
            attempt.allowance.left <= 0 -> GiveUpReason.ALLOWANCE
            !budget.tryAcquire(nowNanos) -> GiveUpReason.BUDGET
            !attempt.allowance.tryTakeOne() -> GiveUpReason.ALLOWANCE
            else -> null
        }

    // The caller gets a retry hint only if the request did not run or may run twice.
    private fun giveUp(
        attempt: FailedAttempt,
        reason: GiveUpReason,
    ): RetryDecision.GiveUp {
        val verdict = attempt.callVerdict
        val mayRepeat = verdict == Verdict.NOT_RUN || verdict == Verdict.MAY_HAVE_RUN && attempt.idempotent
        val hint = attempt.retryAfterMs ?: defaultRetryAfterMs
        return RetryDecision.GiveUp(verdict, reason, hint.takeIf { mayRepeat && attempt.repeatable })
    }
}
