package dev.lycheehill.measure.emulator

import dev.lycheehill.calls.admission.CallPriority

/**
 * A kind of request.
 *
 * @property callsPerSecond requests of clients; 0 for a route that only running requests call.
 * @property meanWorkMs mean time that a backend server works on it.
 * @property worth worth of an answer within [aimMs] of the first attempt.
 * @property lateWorth worth of a later answer.
 * @property child route that a running request calls, or null.
 * @property childCalls mean number of such calls.
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
