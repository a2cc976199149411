package dev.lycheehill.measure.emulator

import dev.lycheehill.calls.verdict.Deadline
import dev.lycheehill.core.time.NANOS_PER_MILLI

/**
 * A client with one request. The client sends the request to the first of [nodes], and retries it at the next one if the
 * request was refused or is idempotent.
 */
internal class EmulatedClient(
    private val fleet: EmulatedFleet,
    private val route: EmulatedRoute,
    private val nodes: List<EmulatedNode>,
    private val tally: ScenarioTally,
) {
    private val timers = fleet.timers
    private val startNanos = timers.nowNanos()
    private val deadline = Deadline.after(route.deadlineMs, startNanos)
    private val aim = Deadline.after(route.aimMs, startNanos)
    private var sentCount = 0
    private var isEnded = false

    fun start() {
        timers.after(route.deadlineMs) { end(succeeded = false, isRefused = false) }
        send()
    }

    private fun send() {
        if (isEnded) return
        val node = nodes[sentCount++]
        timers.after(fleet.scenario.clientLatencyMs) {
            // A failed connect is reported at once; a response takes the client latency once more.
            if (fleet.isDown) {
                onOutcome(CallOutcome(succeeded = false, isRefused = true))
            } else {
                EmulatedCall(fleet, node, route, deadline, aim, isChild = false) { outcome ->
                    timers.after(fleet.scenario.clientLatencyMs) { onOutcome(outcome) }
                }.start()
            }
        }
    }

    private fun onOutcome(outcome: CallOutcome) {
        val mayRepeat = outcome.isRefused || route.idempotent
        when {
            outcome.succeeded -> end(succeeded = true, isRefused = false)
            sentCount < nodes.size && mayRepeat -> {
                val leftMs = deadline.remainingMs(timers.nowNanos())
                timers.after(minOf(outcome.retryAfterMs ?: 0, leftMs / MAX_WAIT_DIVISOR)) { send() }
            }
            else -> end(succeeded = false, isRefused = outcome.isRefused)
        }
    }

    private fun end(
        succeeded: Boolean,
        isRefused: Boolean,
    ) {
        if (isEnded) return
        isEnded = true
        val elapsedMs = (timers.nowNanos() - startNanos) / NANOS_PER_MILLI
        tally.recordRequest(route, startNanos / NANOS_PER_MILLI, succeeded, elapsedMs, refusedAgain = isRefused && sentCount > 1)
    }

    private companion object {
        // Clients follow the retry-after hint, but wait no longer than a third of the remaining time.
        const val MAX_WAIT_DIVISOR = 3L
    }
}
