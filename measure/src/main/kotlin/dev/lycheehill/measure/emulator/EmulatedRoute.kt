package dev.lycheehill.measure.emulator

import dev.lycheehill.calls.admission.CallPriority

/**
 * A kind of request to [service].
 *
 * @property idempotent whether a request that may have been executed can be retried.
 * @property callsPerSecond rate at which all clients together send requests; 0 for a route that only running requests call.
 * @property meanWorkMs mean execution time on a backend server of speed 1, without child calls.
 * @property aimMs soft deadline, counted from the first attempt.
 * @property deadlineMs time after which the caller gives up.
 * @property worth value of a successful response within [aimMs] for the caller, relative to other routes.
 * @property lateWorth value of a successful response after [aimMs], on the same scale as [worth].
 * @property childRoute route of the child calls that a running request makes, or null.
 * @property meanChildCalls mean number of child calls of a request.
 * @property maxAttempts how often a node attempts a call, without moves to other targets.
 */
data class EmulatedRoute(
    val name: String,
    val service: String,
    val priority: CallPriority = CallPriority.NORMAL,
    val idempotent: Boolean = true,
    val callsPerSecond: Double = 0.0,
    val meanWorkMs: Double,
    val aimMs: Long,
    val deadlineMs: Long,
    val worth: Double = 1.0,
    val lateWorth: Double = 0.0,
    val childRoute: String? = null,
    val meanChildCalls: Double = 0.0,
    val maxAttempts: Int = 2,
)
