package dev.lycheehill.calls.admission

import dev.lycheehill.calls.verdict.Deadline

/**
 * One call at the target's node. One instance is offered once; it is compared by identity.
 *
 * @property route name of the route, for learned cost classes.
 * @property sizeBytes size of the request body, for learned cost classes.
 * @property aim time until which an answer has its full value.
 * @property acceptsLate whether the caller prefers an answer after [aim] to a refusal.
 * @property isChild whether a running call waits for this one.
 * @property listener told when a queued call starts or is dropped.
 */
open class AdmissionCall(
    val route: String,
    val priority: CallPriority,
    val cost: CallCost,
    val sizeBytes: Int,
    val deadline: Deadline,
    val listener: AdmissionListener,
    val aim: Deadline = deadline,
    val acceptsLate: Boolean = true,
    val isChild: Boolean = false,
) {
    internal var state = AdmissionState.NEW
    internal var long = false
    internal var late = false
    internal var queuedAtNanos = 0L
    internal var startedAtNanos = 0L
}
