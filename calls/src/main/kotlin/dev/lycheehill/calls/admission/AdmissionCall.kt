package dev.lycheehill.calls.admission

import dev.lycheehill.calls.verdict.Deadline

/**
 * A call that is offered to an [AdmissionControl]. An instance is offered once and compared by identity.
 *
 * @property route name of the route, by which durations and learned cost classes are kept.
 * @property priority priority among the calls of the target.
 * @property cost cost class of the route, or [CallCost.LEARNED].
 * @property sizeBytes size of the request body in bytes, for learned cost classes.
 * @property deadline time after which the call is not started any more.
 * @property listener receives the outcome of a queued call.
 * @property aim soft deadline: time until which a response has its full value.
 * @property acceptsLate whether the caller prefers a response after [aim] to a rejection.
 * @property isChild whether a running call waits for this call.
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
    internal var isLong = false
    internal var isLate = false
    internal var queuedAtNanos = 0L
    internal var startedAtNanos = 0L
}
