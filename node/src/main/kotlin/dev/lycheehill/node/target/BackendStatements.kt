package dev.lycheehill.node.target

import dev.lycheehill.calls.limits.StatedLimit
import dev.lycheehill.fleet.membership.Departure
import dev.lycheehill.node.dialect.BackendStatement
import dev.lycheehill.node.logging.DecisionLog

/**
 * Statements of the backend server beside this node about itself, and their effect. Thread-safe.
 *
 * All requests to the backend server pass through this node, so the limit is kept here alone, for the requests of all nodes together.
 * A statement holds for one process of the backend server. A shutdown is final; a limit changes and ends with the statements.
 *
 * Lock order: this object, then [target].
 *
 * @param wallMillis returns the wall time in milliseconds since the Unix epoch.
 * @param onLimit receives each change of the limit, in requests a second; null for no limit.
 */
internal class BackendStatements(
    private val target: LocalTarget,
    private val decisions: DecisionLog,
    private val wallMillis: () -> Long,
    private val onLimit: (Double?) -> Unit,
) {
    private var registration: TargetRegistration? = null
    private var process: BackendProcess? = null
    private var limit = StatedLimit()
    private var departure: Departure? = null

    /** Limit that the current process states, in requests a second; null for no limit. */
    @Volatile
    var maxRequestsPerSecond: Double? = null
        private set

    /** Number of calls that the backend server can run concurrently within its slots and its limit; 0 if unknown. */
    val usableSlots: Int
        get() = StatedLimit.usableSlots(target.registration()?.slots ?: 0, maxRequestsPerSecond, target.meanLatencyNanos)

    /** Returns the current process of the backend server; null before the first registration. */
    @Synchronized
    fun currentProcess(): BackendProcess? {
        val newest = target.registration()
        if (newest != null && newest !== registration) onRegistration(newest)
        return process
    }

    /**
     * Records the [statement] of [sender] in a response to a request that was sent at [sentAtNanos].
     *
     * @param hasRun whether the response belongs to a request that has run. A refusal does not lift a limit.
     */
    @Synchronized
    fun onResponse(
        sender: BackendProcess,
        statement: BackendStatement,
        hasRun: Boolean,
        sentAtNanos: Long,
    ) {
        if (currentProcess()?.isSameAs(sender) != true) return
        val stated = statement.maxRequestsPerSecond
        if (stated != null || hasRun) limit.onResponse(stated, sentAtNanos, System.nanoTime())
        applyLimit(source = "response")
        // Without a known start time, the process is told from later ones with the same name by the present time.
        if (statement.isLeaving) retire(Departure(sender.instanceId, sender.startedAtMs.takeIf { it > 0 } ?: wallMillis()), "response")
    }

    /**
     * Prepares for a call before it is admitted: forgets the statements of an earlier process, and takes over what the caller's node
     * reports. Reports about an earlier process are ignored.
     *
     * @param limitReport limit that the caller's node knows; null if none.
     * @param departureReport shutdown that the caller's node knows; null if none.
     */
    @Synchronized
    fun onCall(
        limitReport: LimitHeader?,
        departureReport: Departure?,
    ) {
        val current = currentProcess()
        departureReport?.let { retire(it, source = "node") }
        if (limitReport == null || current?.isSameAs(limitReport.process) != true) return
        limit.onReport(limitReport.requestsPerSecond)
        applyLimit(source = "node")
    }

    /** Returns the shutdown that the current process has stated, for other nodes, or null if it has stated none. */
    @Synchronized
    fun departure(): Departure? {
        currentProcess()
        return departure
    }

    /** Returns the limit of the current process for other nodes, or null if it states none. */
    fun limitHeader(): LimitHeader? {
        val stated = maxRequestsPerSecond ?: return null
        return currentProcess()?.let { LimitHeader(it, stated) }
    }

    private fun onRegistration(newest: TargetRegistration) {
        registration = newest
        val previous = process
        val current = BackendProcess.of(newest)
        process = current
        if (previous != null && !previous.isSameAs(current)) {
            limit = StatedLimit()
            applyLimit(source = "start")
        }
        if (departure?.covers(current.instanceId, current.startedAtMs) == false) departure = null
    }

    private fun retire(
        retired: Departure,
        source: String,
    ) {
        if (!target.retire(retired)) return
        departure = retired
        decisions.write("backend-statement-changed", "instance" to retired.instanceId, "leaving" to true, "source" to source)
    }

    private fun applyLimit(source: String) {
        if (limit.requestsPerSecond == maxRequestsPerSecond) return
        maxRequestsPerSecond = limit.requestsPerSecond
        onLimit(maxRequestsPerSecond)
        decisions.write(
            "backend-statement-changed",
            "instance" to process?.instanceId,
            "max_requests_per_s" to (maxRequestsPerSecond ?: "none"),
            "source" to source,
        )
    }
}
