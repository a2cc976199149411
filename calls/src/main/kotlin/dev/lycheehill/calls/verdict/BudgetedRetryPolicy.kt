package dev.lycheehill.calls.verdict

import dev.lycheehill.core.Verdict

/**
 * Retries elsewhere within the attempts, the deadline, the call tree's allowance and the budget of the service.
 *
 * A call that reached no backend server may be moved without any of these but the deadline: up to [maxMoves] times after
 * a refusal for load, and up to [maxDetours] times after a target that was not available.
 *
 * @param countsChildCalls whether calls of running requests add to the budget. Where the fleet's budget is a share of the
 *   requests of clients, they do not: a service may get several times as many calls from other services.
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
        return if (reason == null) RetryDecision.OtherTarget(delayMs = 0) else final(attempt, reason)
    }

    private fun mayMove(
        attempt: FailedAttempt,
        nowNanos: Long,
    ): Boolean = !attempt.arrived && attempt.repeatable && !attempt.deadline.isExpired(nowNanos) && hasMoveLeft(attempt)

    private fun hasMoveLeft(attempt: FailedAttempt): Boolean =
        if (attempt.available) attempt.moves < maxMoves else attempt.detours < maxDetours

    // The budget is asked before the allowance, and a unit taken from the budget is not returned when the allowance
    // is used up concurrently: that can only make retries fewer.
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

    // The caller is told to try again only when the request did not run or may run twice.
    private fun final(
        attempt: FailedAttempt,
        reason: GiveUpReason,
    ): RetryDecision.GiveUp {
        val verdict = attempt.callVerdict
        val mayRepeat = verdict == Verdict.NOT_RUN || verdict == Verdict.MAY_HAVE_RUN && attempt.idempotent
        val hint = attempt.retryAfterMs ?: defaultRetryAfterMs
        return RetryDecision.GiveUp(verdict, reason, hint.takeIf { mayRepeat && attempt.repeatable })
    }
}
