package dev.lycheehill.measure.emulator

import dev.lycheehill.calls.verdict.Deadline
import dev.lycheehill.core.time.NANOS_PER_MILLI

/** A client with one request, which it sends once more at most, as the answer says. */
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
    private var attempt = 0
    private var isEnded = false

    fun start() {
        timers.after(route.deadlineMs) { end(succeeded = false, isRefused = false) }
        send()
    }

    private fun send() {
        if (isEnded) return
        val node = nodes[attempt++]
        timers.after(fleet.scenario.clientLatencyMs) {
            // The answer needs its way back.
            if (fleet.isDown) {
                received(CallOutcome(succeeded = false, isRefused = true))
            } else {
                EmulatedCall(fleet, node, route, deadline, aim, isChild = false) { outcome ->
                    timers.after(fleet.scenario.clientLatencyMs) { received(outcome) }
                }.start()
            }
        }
    }

    private fun received(outcome: CallOutcome) {
        val mayRepeat = outcome.isRefused || route.idempotent
        when {
            outcome.succeeded -> end(succeeded = true, isRefused = false)
            attempt < nodes.size && mayRepeat -> {
                val leftMs = deadline.remainingMs(timers.nowNanos())
                timers.after(minOf(outcome.retryAfterMs ?: 0, leftMs / SHARE_OF_TIME_LEFT)) { send() }
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
        val tookMs = (timers.nowNanos() - startNanos) / NANOS_PER_MILLI
        tally.ended(route, startNanos / NANOS_PER_MILLI, succeeded, tookMs, refusedAgain = isRefused && attempt > 1)
    }

    private companion object {
        // Clients wait as told up to a third of the time that they have left.
        const val SHARE_OF_TIME_LEFT = 3L
    }
}
