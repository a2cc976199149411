package dev.lycheehill.node.stop

import dev.lycheehill.node.http.OpenWork
import dev.lycheehill.node.logging.DecisionLog
import dev.lycheehill.node.metrics.NodeMetrics
import io.netty.util.concurrent.DefaultPromise
import io.netty.util.concurrent.Future
import io.netty.util.concurrent.GlobalEventExecutor
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isIn

class GracefulStopTest {
    /** Step of a stop, in order. */
    enum class Step { DRAIN, CLOSE, AWAIT, LEAVE, REPORT }

    /** What a failing step does. */
    enum class Failure { THROWS_EXCEPTION, THROWS_ERROR, FAILS_LATER, IS_LATE }

    private val schedule = StopSchedule(drainDelayMs = 50, timeoutMs = 400)

    /** Guards against an error of one step that ends the process before the calls in flight are answered. */
    @ParameterizedTest
    @EnumSource
    fun `all steps run although one of them fails`(failure: Failure) {
        for (failing in Step.entries) {
            val node = RecordingNode(failing, failure)
            newStop(node).run()
            expectThat(node.steps).containsExactly(Step.entries)
        }
    }

    /** Guards against a wait for the calls in flight that a late event loop uses up. */
    @ParameterizedTest
    @CsvSource("0, 350", "100, 250", "200, 150", "600, 0")
    fun `the wait for responses lasts until the time of the schedule`(
        delayMs: Long,
        minimumWaitMs: Long,
    ) {
        val node = RecordingNode(closeDelayMs = delayMs)
        newStop(node).run()
        expectThat(node.awaitTimeoutMs).isIn(0..schedule.timeoutMs - schedule.drainDelayMs)
        // Starting later by the time that a loaded machine may take leaves less.
        expectThat(node.awaitTimeoutMs + SCHEDULING_DELAY_MS).isGreaterThanOrEqualTo(minimumWaitMs)
    }

    /** Guards against a drain that a blocked event loop prolongs beyond its time. */
    @ParameterizedTest
    @CsvSource("DRAIN", "LEAVE")
    fun `a task that an event loop does not run does not block the stop`(step: Step) {
        val node = RecordingNode(step, Failure.IS_LATE)
        newStop(node).run()
        expectThat(node.steps.last()) isEqualTo Step.REPORT
    }

    private fun newStop(node: StoppableNode) = GracefulStop(node, schedule, StopReport(DecisionLog(), NodeMetrics(), { OpenWork(0, 0, 0) }))

    private inner class RecordingNode(
        private val failing: Step? = null,
        private val failure: Failure = Failure.THROWS_EXCEPTION,
        private val closeDelayMs: Long = 0,
    ) : StoppableNode {
        val steps = ArrayList<Step>()
        var awaitTimeoutMs = -1L
            private set

        override fun drain() = record(Step.DRAIN)

        override fun closeListeners(timeoutMs: Long) {
            record(Step.CLOSE)
            Thread.sleep(closeDelayMs)
        }

        override fun awaitResponses(timeoutMs: Long): Boolean {
            awaitTimeoutMs = timeoutMs
            record(Step.AWAIT)
            return true
        }

        override fun leave() = record(Step.LEAVE)

        override fun reportUnanswered(): Boolean {
            record(Step.REPORT)
            return true
        }

        private fun record(step: Step): Future<*> {
            steps.add(step)
            val promise = DefaultPromise<Unit>(GlobalEventExecutor.INSTANCE)
            if (step != failing) return promise.setSuccess(Unit)
            return when (failure) {
                Failure.THROWS_EXCEPTION -> error("step $step")
                Failure.THROWS_ERROR -> throw NoClassDefFoundError("step $step")
                Failure.FAILS_LATER -> promise.setFailure(IllegalStateException("step $step"))
                Failure.IS_LATE -> promise
            }
        }
    }

    private companion object {
        const val SCHEDULING_DELAY_MS = 100L
    }
}
