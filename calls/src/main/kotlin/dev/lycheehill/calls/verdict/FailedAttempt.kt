package dev.lycheehill.calls.verdict

import dev.lycheehill.core.Verdict

/**
 * An attempt that ended without a usable answer.
 *
 * @property number 1 for the first attempt of the call.
 * @property repeatable false when no other target can change the outcome, as for a quarantined request.
 * @property earlier least favourable verdict of the earlier attempts of the call.
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
    val earlier: Verdict = Verdict.NOT_RUN,
) {
    /** Verdict of the whole call: an attempt that did not run does not undo an earlier one that may have run. */
    val callVerdict: Verdict get() = if (verdict == Verdict.NOT_RUN) earlier else verdict
}
