package dev.lycheehill.cli.logs

/**
 * Path of one request through the nodes, reconstructed from their decision logs.
 *
 * The order is causal: the caller's node, the node of each target, then the child calls of the request. Timestamps are not used,
 * because the clocks of the instances differ.
 */
class RequestExplanation(
    private val requestId: String,
    private val lines: List<DecisionLogEntry>,
) {
    private val callEnds = lines.filter { it.message == CALL_ENDED }.groupBy { it.requestId }
    private val targetEnds = lines.filter { it.message == TARGET_ENDED }.groupBy { it.requestId }

    /** Whether any log entry belongs to the request. */
    val isFound: Boolean get() = requestId in callEnds || requestId in targetEnds

    /** Returns the explanation as lines of text. */
    fun text(): List<String> = describe(requestId, "") + describeSuppressedLines()

    private fun describe(
        id: String,
        indent: String,
    ): List<String> {
        val callerEntries = callEnds[id].orEmpty()
        val targetEntries = targetEnds[id].orEmpty()
        val head =
            if (callerEntries.isEmpty()) {
                listOf(
                    "${indent}request $id: no line of the caller's node, $NO_LINE_REASON",
                )
            } else {
                callerEntries.map { describeCaller(it, indent) }
            }
        val triedTargets = callerEntries.flatMap { it.targets }
        val atTriedTargets = triedTargets.map { describeTarget(it, targetEntries.filter { line -> line.process == it }, indent) }
        val atOthers = targetEntries.filter { it.process !in triedTargets }.map { "$indent  at ${it.process}: ${describeOutcome(it)}" }
        return head + atTriedTargets + atOthers + childRequestIdsOf(id).flatMap { describe(it, "$indent    ") }
    }

    private fun describeCaller(
        line: DecisionLogEntry,
        indent: String,
    ) = "${indent}request ${line.requestId} at ${line.process}: ${describeOutcome(line)}"

    private fun describeTarget(
        process: String,
        found: List<DecisionLogEntry>,
        indent: String,
    ): String =
        when {
            found.isNotEmpty() -> found.joinToString("\n") { "$indent  at $process: ${describeOutcome(it)}" }
            lines.none { it.process == process } -> "$indent  at $process: its log is not given"
            else -> "$indent  at $process: no line, $NO_LINE_REASON"
        }

    private fun describeOutcome(line: DecisionLogEntry): String {
        val reason = line.fields["reason"]
        val parts = listOfNotNull(line.fields["verdict"], line.fields["status"], reason, reason?.let(REASONS::get)?.let { "($it)" })
        val inputs = line.fields.filterKeys { it in INPUTS }.map { (name, value) -> "$name=$value" }
        return (parts + inputs).joinToString(" ")
    }

    // The id of a child call is the id of its request, a dot and an id of its own.
    private fun childRequestIdsOf(id: String): List<String> =
        (callEnds.keys + targetEnds.keys).filterNotNull().filter { it.startsWith("$id.") && '.' !in it.removePrefix("$id.") }.distinct()

    private fun describeSuppressedLines(): List<String> =
        lines
            .groupBy { it.process }
            .mapValues { (_, ofProcess) -> ofProcess.sumOf { it.suppressedLines } }
            .filterValues { it > 0 }
            .map { (process, count) -> "$process left out $count lines under load; a missing line may be one of them" }

    private companion object {
        const val CALL_ENDED = "call-ended"
        const val TARGET_ENDED = "target-call-ended"
        const val NO_LINE_REASON = "as after a success on the first target"

        val INPUTS =
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
            )

        val REASONS =
            mapOf(
                "queue-time" to "the instance could not have answered in time",
                "queue-full" to "the queue of the instance was full",
                "backend-refused" to "the backend server itself refused",
                "backend-down" to "the backend server accepted no connection",
                "draining" to "the backend server was leaving",
                "lease-expired" to "the backend server had sent no heartbeat",
                "no-target" to "no instance of the service was left to try",
                "no-room" to "each instance held as many calls of this node as its answers allow",
                "no-configuration" to "the node had not read a configuration",
                "quarantined" to "backend servers died while they ran it",
                "deadline" to "the time of the caller was over",
                "caller-gone" to "the caller closed its connection",
                "connect-failed" to "the other node accepted no connection",
                "connection-closed" to "the connection ended before the answer",
            )
    }
}
