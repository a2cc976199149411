package dev.lycheehill.node.tracing

import dev.lycheehill.core.Verdict

/**
 * What is known at the end of a hop.
 *
 * @property route name of the route; null when none matched.
 * @property version configuration version that the call used.
 * @property target node id of the target; null when none was chosen.
 * @property attempt number of the attempt from 1; on [Hop.EGRESS] the number of attempts made.
 * @property queueNanos time in the queue of the target's node.
 * @property status HTTP status; null when there was no response.
 * @property reason value of `lycheehill-reason`; null when there is none.
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
    /** Tells whether the span is kept regardless of sampling. */
    val failed: Boolean get() = verdict != Verdict.RAN || status == null || status >= FIRST_SERVER_ERROR

    /** Fields of a log line about the end of the hop. */
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
