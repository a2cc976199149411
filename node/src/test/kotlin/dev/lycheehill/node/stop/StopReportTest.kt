package dev.lycheehill.node.stop

import dev.lycheehill.core.time.NANOS_PER_MILLI
import dev.lycheehill.node.http.OpenWork
import dev.lycheehill.node.logging.DecisionLog
import dev.lycheehill.node.logging.RecordedDecisionLog
import dev.lycheehill.node.metrics.CallSource
import dev.lycheehill.node.metrics.CloseCause
import dev.lycheehill.node.metrics.NodeMetrics
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class StopReportTest {
    private val recorded = RecordedDecisionLog()
    private val metrics = NodeMetrics()
    private var nowMs = 10_000L
    private val openWork =
        mutableMapOf(
            CallSource.CALLERS to OpenWork(connections = 5, calls = 3, unsentBytes = 70),
            CallSource.NODES to OpenWork(connections = 2, calls = 1, unsentBytes = 0),
        )
    private val report =
        StopReport(DecisionLog(), metrics, openWork = openWork::getValue, clockNanos = { nowMs * NANOS_PER_MILLI })

    @AfterEach
    fun close() {
        recorded.close()
    }

    /** Guards against a stop whose log does not tell when a phase began, how late, and which calls were open. */
    @Test
    fun `each phase states its begin, its lateness and the open work`() {
        expectThat(report.isStopping).isFalse()
        report.begin()
        nowMs += 2_400
        metrics.countUnansweredCall(CallSource.CALLERS, CloseCause.PEER_CLOSED)
        report.enter(StopPhase.CLOSING, plannedMs = 2_300, "timeout_ms" to 2_900L)
        openWork[CallSource.CALLERS] = OpenWork(connections = 0, calls = 0, unsentBytes = 0)
        nowMs += 100
        report.enter(StopPhase.LEAVING, plannedMs = 5_300, "all_closed" to true)
        expectThat(report.isStopping).isTrue()
        expectThat(recorded.lines("stop-phase").map { it.values.joinToString(" ") }).containsExactly(
            "begun 0 5 3 70 2 1 0 0",
            "closing 2400 100 2900 5 3 70 2 1 0 1",
            "leaving 2500 -2800 true 0 0 0 2 1 0 1",
        )
        expectThat(recorded.lines("stop-phase")[1].keys.toList()).containsExactly(
            "phase",
            "elapsed_ms",
            "late_ms",
            "timeout_ms",
            "caller_connections",
            "caller_calls",
            "caller_unsent_bytes",
            "node_connections",
            "node_calls",
            "node_unsent_bytes",
            "unanswered",
        )
    }

    /** Guards against a second signal that restarts the clock of the stop. */
    @Test
    fun `a stop begins once`() {
        report.begin()
        nowMs += 50
        report.begin()
        expectThat(report.elapsedMs) isEqualTo 50
        expectThat(recorded.lines("stop-phase").size) isEqualTo 1
    }

    /** Guards against a stop that an exception ends without a trace in the log. */
    @Test
    fun `a failed stop states its phase and its exception`() {
        report.enter(StopPhase.CLOSING, plannedMs = 0)
        report.fail(IllegalStateException("loop is gone"))
        val line = recorded.lines("stop-failed").single()
        expectThat(listOf("phase", "error", "detail").map(line::get))
            .containsExactly("closing", "java.lang.IllegalStateException", "loop is gone")
    }
}
