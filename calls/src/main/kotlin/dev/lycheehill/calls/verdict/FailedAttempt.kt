package dev.lycheehill.calls.verdict

import dev.lycheehill.core.Verdict

/**
 * An attempt that ended without a usable response.
 *
 * @property verdict whether the request of the attempt ran.
 * @property idempotent whether the request may run more than once.
 * @property number number of the attempt within the call, counted from 1. Moves and detours are not counted.
 * @property maxAttempts largest number of attempts of the route.
 * @property deadline deadline of the call.
 * @property allowance retry allowance of the call tree.
 * @property repeatable false if no other target can change the outcome, for example for a quarantined request.
 * @property retryAfterMs retry hint of the target's node in milliseconds; null if the node gave none.
 * @property earlierVerdict least favourable verdict of the earlier attempts of the call.
 * @property serverError whether the backend server ran the request and responded with a server error.
 * @property arrived whether the request reached a backend server. A call that did not may be moved without a retry.
 * @property available whether the target accepts calls; false for a target that is down or leaving.
 * @property moves how often the call has been moved after a target refused the call because of load.
 * @property detours how often the call has been moved after a target was not available.
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
    /** Verdict on the whole call. If this attempt did not run, the verdict on the earlier attempts holds. */
    val callVerdict: Verdict get() = if (verdict == Verdict.NOT_RUN) earlierVerdict else verdict
}
