package dev.lycheehill.cli.logs

/**
 * Path of one request through the nodes, reconstructed from their decision logs.
 *
 * The order is causal: the caller's node, the node of each target, then the child calls of the request. Timestamps are not used,
 * because the clocks of the instances differ.
 */
class RequestExplanation(
    private val requestId: String,
    private val entries: List<DecisionLogEntry>,
) {
    private val callEnded = entries.filter { it.message == CALL_ENDED }.groupBy { it.requestId }
    private val targetEnded = entries.filter { it.message == TARGET_ENDED }.groupBy { it.requestId }
    private val unanswered = entries.filter { it.message == UNANSWERED }.groupBy { it.requestId }

    /** Whether any log entry belongs to the request. */
    val isFound: Boolean get() = requestId in callEnded || requestId in targetEnded || requestId in unanswered

    /** Returns the explanation as lines of text. */
    fun text(): List<String> = describe(requestId, "") + describeSuppressedLines()

    private fun describe(
        id: String,
        indent: String,
    ): List<String> {
        val (unansweredAtTarget, unansweredAtCaller) = unanswered[id].orEmpty().partition { it.fields["source"] == "nodes" }
        val callerEntries = callEnded[id].orEmpty() + unansweredAtCaller
        val targetEntries = targetEnded[id].orEmpty() + unansweredAtTarget
        val head =
            if (callerEntries.isEmpty()) {
                listOf(
                    "${indent}request $id: no line from the caller's node, $NO_LINE_REASON",
                )
            } else {
                callerEntries.map { describeCaller(it, indent) }
            }
        val triedTargets = callerEntries.flatMap { it.targets }.distinct()
        val atTriedTargets = triedTargets.map { describeTarget(it, targetEntries.filter { entry -> entry.process == it }, indent) }
        val atOthers = targetEntries.filter { it.process !in triedTargets }.map { "$indent  at ${it.process}: ${describeOutcome(it)}" }
        return head + atTriedTargets + atOthers + childRequestIdsOf(id).flatMap { describe(it, "$indent    ") }
    }

    private fun describeCaller(
        entry: DecisionLogEntry,
        indent: String,
    ) = "${indent}request ${entry.requestId} at ${entry.process}: ${describeOutcome(entry)}"

    private fun describeTarget(
        process: String,
        found: List<DecisionLogEntry>,
        indent: String,
    ): String =
        when {
            found.isNotEmpty() -> found.joinToString("\n") { "$indent  at $process: ${describeOutcome(it)}" }
            entries.none { it.process == process } -> "$indent  at $process: its log is not given"
            else -> "$indent  at $process: no line, $NO_LINE_REASON"
        }

    private fun describeOutcome(entry: DecisionLogEntry): String {
        val reason = entry.fields["reason"]
        val result = if (entry.message == UNANSWERED) "not answered" else null
        val cause = entry.fields["cause"]
        val parts =
            listOfNotNull(result, entry.fields["verdict"], entry.fields["status"], reason, reason?.let(REASONS::get)?.let { "($it)" }) +
                listOfNotNull(cause, cause?.let(CAUSES::get)?.let { "($it)" })
        val shownFields = entry.fields.filterKeys { it in SHOWN_FIELDS }.map { (name, value) -> "$name=$value" }
        return (parts + shownFields).joinToString(" ")
    }

    // The id of a child call consists of the id of the parent request, a dot and a suffix without dots.
    private fun childRequestIdsOf(id: String): List<String> =
        (callEnded.keys + targetEnded.keys + unanswered.keys)
            .filterNotNull()
            .filter {
                it.startsWith("$id.") &&
                    '.' !in it.removePrefix("$id.")
            }.distinct()

    private fun describeSuppressedLines(): List<String> =
        entries
            .groupBy { it.process }
            .mapValues { (_, ofProcess) -> ofProcess.sumOf { it.suppressedLines } }
            .filterValues { it > 0 }
            .map { (process, count) -> "$process left out $count lines under load; a missing line may be one of them" }

    private companion object {
        const val CALL_ENDED = "call-ended"
        const val TARGET_ENDED = "target-call-ended"
        const val UNANSWERED = "unanswered-call"
        const val NO_LINE_REASON = "which is normal after a success on the first target"

        val SHOWN_FIELDS =
            setOf(
                "route",
                "service",
                "version",
                "priority",
                "moves",
                "detours",
                "arrivals",
                "in_flight",
                "queued",
                "queue_ms",
                "age_ms",
                "elapsed_ms",
                "left_ms",
                "deadline_ms",
                "instance",
                "stage",
                "error",
            )

        val CAUSES =
            mapOf(
                "peer_closed" to "the sender of the request closed its connection",
                "connection_error" to "reading from or writing to the connection failed",
                "idle_timeout" to "the connection had carried no call for too long",
                "invalid_request" to "the node refused an earlier request of the connection as invalid",
                "closing_response" to "the response to an earlier request closed the connection",
                "aborted_response" to "a response could not be completed after its beginning had been sent",
                "stop" to "the connection carried no call when the node closed its listeners",
                "linger_timeout" to "the sender did not close the connection after the last response",
                "node_end" to "the node ended",
            )

        val REASONS =
            mapOf(
                "queue-time" to "the instance could not have answered in time",
                "queue-full" to "the queue of the instance was full",
                "backend-refused" to "the backend server itself refused the request",
                "backend-down" to "the backend server accepted no connection",
                "draining" to "the backend server was leaving",
                "lease-expired" to "the backend server had sent no heartbeat within its lease",
                "no-target" to "no instance of the service was left to try",
                "no-room" to "this node had reached its limit of concurrent calls to each instance",
                "no-configuration" to "the node had not read a configuration",
                "quarantined" to "backend servers crashed while they ran the request",
                "deadline" to "the deadline of the caller had passed",
                "caller-gone" to "the caller closed its connection",
                "connect-failed" to "the node of the target accepted no connection",
                "connection-closed" to "the connection to the target's node or backend server closed before the response began",
            )
    }
}
