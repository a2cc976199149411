package dev.lycheehill.calls.verdict

import dev.lycheehill.core.Verdict

/**
 * An attempt that ended without a usable answer.
 *
 * @property number 1 for the first attempt of the call.
 * @property serverError whether the backend server ran the request and answered with a server error.
 * @property arrived whether the request reached a backend server, which counts against the budget of the service.
 * @property available whether the target takes calls at all; false for one that is down or leaves.
 * @property moves how often the call has been moved because a target refused it for its load.
 * @property detours how often it has been moved because a target was not available.
 * @property repeatable false when no other target can change the outcome, as for a quarantined request.
 * @property earlierVerdict least favourable verdict of the earlier attempts of the call.
 * @property retryAfterMs hint of the target's node, if it gave one.
 */
data class FailedAttempt(
    val verdict: Verdict,
    val idempotent: Boolean,
    val number: Int,
    val maxAttempts: Int,
    val deadline: Deadline,
    val allowance: RetryAllowance,
    val repeatable: Boolean = true,
    val retryAfterMs: Long? = null,
    val earlierVerdict: Verdict = Verdict.NOT_RUN,
    val serverError: Boolean = false,
    val arrived: Boolean = true,
    val available: Boolean = true,
    val moves: Int = 0,
    val detours: Int = 0,
) {
    /** Verdict of the whole call: an attempt that did not run does not undo an earlier one that may have run. */
    val callVerdict: Verdict get() = if (verdict == Verdict.NOT_RUN) earlierVerdict else verdict
}
