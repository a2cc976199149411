package dev.lycheehill.node.stop

import dev.lycheehill.core.time.NANOS_PER_MILLI
import dev.lycheehill.node.http.OpenWork
import dev.lycheehill.node.logging.DecisionLog
import dev.lycheehill.node.metrics.CallSource
import dev.lycheehill.node.metrics.NodeMetrics

/**
 * Log of the phases of a planned stop: when each began, how late, and the work that was open. Thread-safe.
 *
 * @param log log of its own, because the lines about failed calls use up the rate of the others under load.
 * @param openWork returns the unfinished work of the listener for each source. Called on the stopping thread.
 */
internal class StopReport(
    private val log: DecisionLog,
    private val metrics: NodeMetrics,
    private val openWork: (CallSource) -> OpenWork,
    private val clockNanos: () -> Long = System::nanoTime,
) {
    private val lock = Any()
    private var startNanos = 0L

    @Volatile
    private var unansweredBefore = 0L

    /** Current phase; null if the node is not stopping. */
    @Volatile
    var phase: StopPhase? = null
        private set

    /** Whether the stop has begun. */
    val isStopping: Boolean get() = phase != null

    /** Time since the stop began, in milliseconds; 0 if the node is not stopping. */
    val elapsedMs: Long get() = synchronized(lock) { if (isStopping) (clockNanos() - startNanos) / NANOS_PER_MILLI else 0 }

    /** Records that the stop begins. Does nothing if it has begun already. */
    fun begin() {
        synchronized(lock) {
            if (isStopping) return
            startNanos = clockNanos()
            unansweredBefore = metrics.unansweredCalls
            phase = StopPhase.BEGUN
        }
        write("stop-phase", StopPhase.BEGUN)
    }

    /**
     * Records that [newPhase] begins.
     *
     * @param plannedMs latest planned begin of the phase, in milliseconds after the begin of the stop.
     * @param fields further fields of the line.
     */
    fun enter(
        newPhase: StopPhase,
        plannedMs: Long,
        vararg fields: Pair<String, Any?>,
    ) {
        begin()
        phase = newPhase
        write("stop-phase", newPhase, "late_ms" to elapsedMs - plannedMs, *fields)
    }

    /** Records that [error] has ended the stop in the current phase. */
    fun fail(error: Throwable) = write("stop-failed", phase, "error" to error.javaClass.name, "detail" to error.message)

    private fun write(
        event: String,
        phase: StopPhase?,
        vararg fields: Pair<String, Any?>,
    ) {
        val callers = openWork(CallSource.CALLERS)
        val nodes = openWork(CallSource.NODES)
        log.write(
            event,
            "phase" to phase?.label,
            "elapsed_ms" to elapsedMs,
            *fields,
            "caller_connections" to callers.connections,
            "caller_calls" to callers.calls,
            "caller_unsent_bytes" to callers.unsentBytes,
            "node_connections" to nodes.connections,
            "node_calls" to nodes.calls,
            "node_unsent_bytes" to nodes.unsentBytes,
            "unanswered" to metrics.unansweredCalls - unansweredBefore,
        )
    }
}
