package dev.lycheehill.node.tracing

import dev.lycheehill.core.Verdict

/**
 * The result of a hop, known when the hop ends.
 *
 * @property route name of the route; null if no route matched.
 * @property version configuration version that the call used.
 * @property target node id of the target; null if no target was chosen.
 * @property attempt number of the attempt, counted from 1. For [Hop.EGRESS], the number of attempts of the call.
 * @property verdict verdict of the call or attempt.
 * @property queueNanos time in the queue of the target's node, in nanoseconds.
 * @property status HTTP status; null if there was no response.
 * @property reason value of the header `lycheehill-reason`; null if the header is absent.
 */
data class HopResult(
    val route: String?,
    val version: Long,
    val target: String? = null,
    val attempt: Int = 1,
    val verdict: Verdict,
    val queueNanos: Long = 0,
    val status: Int? = null,
    val reason: String? = null,
) {
    /** Whether the hop failed. The span of a failed hop is kept even if its trace is not sampled. */
    val failed: Boolean get() = verdict != Verdict.RAN || status == null || status >= FIRST_SERVER_ERROR

    /** Returns the fields for a line of the decision log about the end of the hop. */
    fun describe(): Array<Pair<String, Any?>> =
        arrayOf(
            "route" to route,
            "version" to version,
            "verdict" to verdict.headerValue,
            "status" to status,
            "reason" to reason,
        )

    private companion object {
        const val FIRST_SERVER_ERROR = 500
    }
}
