package dev.lycheehill.node.stop

import dev.lycheehill.core.time.NANOS_PER_MILLI
import io.netty.util.concurrent.Future
import java.util.concurrent.TimeUnit

/**
 * Stops a node within the grace period of its platform: refuses new calls to the backend server, serves callers until they use
 * other nodes, closes the listeners, waits for the responses to the calls in flight, and leaves the fleet.
 *
 * The process ends after the last step, so neither an error of a step nor a late event loop shortens the wait for the responses.
 *
 * @param schedule times of the steps, counted from the begin of the stop.
 * @param report log of the phases.
 */
internal class GracefulStop(
    private val node: StoppableNode,
    private val schedule: StopSchedule,
    private val report: StopReport,
    private val clockNanos: () -> Long = System::nanoTime,
) {
    private val steps = StopSteps(report::fail)
    private var startNanos = 0L

    /** Runs all steps and blocks the calling thread. */
    fun run() {
        startNanos = clockNanos()
        steps.run { report.begin() }
        steps.run { await(node.drain(), schedule.drainDelayMs) }
        steps.run { report.enter(StopPhase.DRAINING, plannedMs = 0) }
        steps.run { Thread.sleep(leftMs(schedule.drainDelayMs)) }
        steps.run { report.enter(StopPhase.CLOSING, schedule.drainDelayMs, "timeout_ms" to leftMs(schedule.timeoutMs)) }
        steps.run { node.closeListeners(leftMs(schedule.timeoutMs)) }
        val isAnswered = steps.run { node.awaitResponses(leftMs(schedule.timeoutMs)) } ?: false
        steps.run { report.enter(StopPhase.LEAVING, schedule.timeoutMs, "all_answered" to isAnswered) }
        steps.run { await(node.leave(), LEAVE_TIMEOUT_MS) }
        val endMs = report.elapsedMs + LAST_WRITE_WAIT_MS
        steps.run { Thread.sleep(LAST_WRITE_WAIT_MS) }
        val isReported = steps.run { node.reportUnanswered() } ?: false
        steps.run { report.enter(StopPhase.ENDED, endMs, "calls_listed" to isReported) }
    }

    private fun leftMs(untilMs: Long): Long = (untilMs - (clockNanos() - startNanos) / NANOS_PER_MILLI).coerceAtLeast(0)

    // A task that is not done in time still runs later, in the order of the event loop.
    private fun await(
        task: Future<*>,
        timeoutMs: Long,
    ) {
        if (task.await(timeoutMs, TimeUnit.MILLISECONDS)) task.cause()?.let { throw it }
    }

    private companion object {
        const val LEAVE_TIMEOUT_MS = 200L

        // Covers the last write to the store, which takes a few milliseconds.
        const val LAST_WRITE_WAIT_MS = 100L
    }
}
