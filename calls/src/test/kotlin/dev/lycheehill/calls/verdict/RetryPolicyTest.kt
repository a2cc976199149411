package dev.lycheehill.calls.verdict

import dev.lycheehill.core.Verdict
import dev.lycheehill.core.time.NANOS_PER_MILLI
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThanOrEqualTo

class RetryPolicyTest {
    /** Guards against a second run of a non-idempotent request, and against retries beyond a limit. */
    @ParameterizedTest
    @CsvSource(
        "NOT_RUN, false, 1, 100, 3, true, ,",
        "NOT_RUN, true, 1, 100, 3, true, ,",
        "MAY_HAVE_RUN, true, 1, 100, 3, true, ,",
        "MAY_HAVE_RUN, false, 1, 100, 3, true, MAY_HAVE_RUN,",
        "RAN, true, 1, 100, 3, true, ANSWERED,",
        "NOT_RUN, false, 3, 100, 3, true, ATTEMPTS, 1000",
        "NOT_RUN, false, 1, 0, 3, true, DEADLINE, 1000",
        "MAY_HAVE_RUN, true, 1, 0, 3, true, DEADLINE, 1000",
        "NOT_RUN, false, 1, 100, 0, true, ALLOWANCE, 1000",
        "NOT_RUN, true, 1, 100, 3, false, REFUSED,",
    )
    fun `an attempt is repeated only where it is safe and allowed`(
        verdict: Verdict,
        idempotent: Boolean,
        number: Int,
        timeoutMs: Long,
        allowance: Int,
        repeatable: Boolean,
        expected: GiveUpReason?,
        retryAfterMs: Long?,
    ) {
        val attempt = FailedAttempt(verdict, idempotent, number, 3, Deadline.after(timeoutMs, 0), RetryAllowance(allowance), repeatable)
        val decision = BudgetedRetryPolicy().decide(attempt, 0)
        if (expected == null) {
            expectThat(decision).isA<RetryDecision.OtherTarget>()
        } else {
            expectThat(decision).isEqualTo(RetryDecision.GiveUp(verdict, expected, retryAfterMs))
        }
    }

    /** Guards against the verdict `not run` on a call of which an earlier attempt may have run. */
    @Test
    fun `the final verdict covers all attempts`() {
        val deadline = Deadline.after(1_000, 0)
        val last = FailedAttempt(Verdict.NOT_RUN, true, 3, 3, deadline, RetryAllowance(), earlierVerdict = Verdict.MAY_HAVE_RUN)
        val decision = BudgetedRetryPolicy().decide(last, 0) as RetryDecision.GiveUp
        expectThat(decision.verdict).isEqualTo(Verdict.MAY_HAVE_RUN)
    }

    /** Guards against a budget that is used up by calls that reached no backend server, and against an unbounded number of moves. */
    @ParameterizedTest
    @CsvSource(
        "NOT_RUN, false, true, 0, 0, true",
        "NOT_RUN, false, true, 1, 4, true",
        "NOT_RUN, false, true, 2, 0, false",
        "NOT_RUN, false, false, 2, 3, true",
        "NOT_RUN, false, false, 0, 4, false",
        "NOT_RUN, true, true, 0, 0, false",
    )
    fun `a call that reached no backend server is moved without using the budget`(
        verdict: Verdict,
        arrived: Boolean,
        available: Boolean,
        moves: Int,
        detours: Int,
        isMove: Boolean,
    ) {
        val budget = RetryBudget()
        val deadline = Deadline.after(1_000, 0)
        val attempt =
            FailedAttempt(
                verdict = verdict,
                idempotent = false,
                number = 1,
                maxAttempts = 3,
                deadline = deadline,
                allowance = RetryAllowance(0),
                arrived = arrived,
                available = available,
                moves = moves,
                detours = detours,
            )
        val decision = BudgetedRetryPolicy(budget, maxMoves = 2, maxDetours = 4).decide(attempt, 0)
        expectThat(decision is RetryDecision.OtherTarget && decision.isMove) isEqualTo isMove
        repeat(3) { expectThat(budget.tryAcquire(0)) isEqualTo true }
    }

    /** Guards against an error response that reaches the caller although another backend server could serve the call. */
    @ParameterizedTest
    @CsvSource("true, true, true", "true, false, false", "false, true, false")
    fun `after a server error only an idempotent call is sent to another backend server`(
        idempotent: Boolean,
        serverError: Boolean,
        isRetried: Boolean,
    ) {
        val attempt = FailedAttempt(Verdict.RAN, idempotent, 1, 3, Deadline.after(1_000, 0), RetryAllowance(1), serverError = serverError)
        expectThat(BudgetedRetryPolicy().decide(attempt, 0) is RetryDecision.OtherTarget) isEqualTo isRetried
    }

    /** Guards against a retry storm: if all calls fail, retries stay within a tenth of the calls of the last 10 s. */
    @Test
    fun `the budget bounds the retries in each window`() {
        val budget = RetryBudget()
        val retriesByMs = IntArray(30_000)
        for (ms in retriesByMs.indices) {
            budget.onCall(ms * NANOS_PER_MILLI)
            if (budget.tryAcquire(ms * NANOS_PER_MILLI)) retriesByMs[ms]++
        }
        val sums = retriesByMs.runningFold(0, Int::plus)
        val worst = (10_000 until sums.size).maxOf { sums[it] - sums[it - 10_000] }
        expectThat(worst).isLessThanOrEqualTo(1_000)
        expectThat(budget.tryAcquire(3_600_000 * NANOS_PER_MILLI)).isEqualTo(true)
    }

    /** Guards against retries that multiply with the depth and width of a call tree. */
    @Test
    fun `a tree of failing calls uses no more retries than its root allows`() {
        val retries = failingCall(RetryAllowance(), depth = 8)
        expectThat(retries).isLessThanOrEqualTo(RetryAllowance.DEFAULT)
    }

    /** Guards against a child call that gets a new allowance because the registry of call trees is full. */
    @Test
    fun `child calls of one call share an allowance`() {
        val trees = CallTreeAllowances(capacity = 1)
        trees.start("tree", RetryAllowance(1))
        trees.start("other", RetryAllowance(2))
        expectThat(trees.forChild("tree", "3").tryTakeOne()).isEqualTo(true)
        expectThat(trees.forChild("tree", "3").tryTakeOne()).isFalse()
        expectThat(trees.forChild("other", "2").left).isEqualTo(0)
        expectThat(trees.finish("tree")).isEqualTo(0)
    }

    private fun failingCall(
        allowance: RetryAllowance,
        depth: Int,
    ): Int {
        if (depth == 0) return 0
        val below = RetryAllowance(allowance.lend())
        var retries = (1..3).sumOf { failingCall(below, depth - 1) }
        while (allowance.tryTakeOne()) retries += 1 + failingCall(RetryAllowance(allowance.lend()), depth - 1)
        return retries
    }

    /** Guards against child calls that add to a retry budget which is meant to be a share of the requests of clients. */
    @Test
    fun `child calls add nothing to the budget if the policy does not count them`() {
        val counted = BudgetedRetryPolicy(RetryBudget(minRetries = 0))
        val uncounted = BudgetedRetryPolicy(RetryBudget(minRetries = 0), countsChildCalls = false)
        val failed = FailedAttempt(Verdict.NOT_RUN, true, 1, 3, Deadline.after(1_000, 0), RetryAllowance())
        listOf(counted, uncounted).forEach { policy -> repeat(100) { policy.onCall(0, isChild = true) } }
        expectThat(counted.decide(failed, 0)).isA<RetryDecision.OtherTarget>()
        expectThat(uncounted.decide(failed, 0)).isA<RetryDecision.GiveUp>()
        repeat(10) { uncounted.onCall(0) }
        expectThat(uncounted.decide(failed, 0)).isA<RetryDecision.OtherTarget>()
        expectThat(uncounted.decide(failed, 0)).isA<RetryDecision.GiveUp>()
    }
}
