package dev.lycheehill.measure.emulator

import dev.lycheehill.calls.balancing.AttemptOutcome
import dev.lycheehill.calls.balancing.LoadReport
import dev.lycheehill.calls.balancing.TargetHandle
import dev.lycheehill.calls.verdict.Deadline
import dev.lycheehill.calls.verdict.FailedAttempt
import dev.lycheehill.calls.verdict.RetryAllowance
import dev.lycheehill.calls.verdict.RetryDecision
import dev.lycheehill.core.Verdict

/** One call at its caller's node, with the production choice of targets and retries. */
internal class EmulatedCall(
    private val fleet: EmulatedFleet,
    private val node: EmulatedNode,
    val route: EmulatedRoute,
    val deadline: Deadline,
    val aim: Deadline,
    val isChild: Boolean,
    private val end: (CallOutcome) -> Unit,
) {
    private val timers = fleet.timers
    private val allowance = RetryAllowance()
    private val tried = ArrayList<String>(2)
    private val calls = node.callsTo(route.service)
    private var attempts = 0
    private var moves = 0
    private var detours = 0
    private var isLastResort = false
    private var isEnded = false
    private var mayHaveRun = false
    private var leastRetryAfterMs: Long? = null

    fun start() {
        calls.retries.onCall(timers.nowNanos(), isChild)
        timers.after(deadline.remainingMs(timers.nowNanos())) { finish(CallOutcome(succeeded = false)) }
        attempt()
    }

    private fun attempt() {
        if (isEnded) return
        val now = timers.nowNanos()
        val target = calls.picker.pick(now, tried) ?: return noTarget()
        attempts++
        tried.add(target.info.id)
        calls.picker.onStart(target, now)
        val server = fleet.server(target.info.id)
        val wayMs = fleet.wayMs(node.zone, server.zone)
        fleet.tally.sent(betweenZones = node.zone != server.zone)
        val incarnation = node.incarnation
        timers.after(wayMs) {
            val arrival =
                EmulatedAttempt(this, isLastResort, timers.nowNanos()) { outcome ->
                    val load = server.load()
                    timers.after(wayMs) { if (incarnation == node.incarnation) answered(target, outcome, now, load) }
                }
            if (fleet.isDown) timers.after(wayMs) { unreachable(target, now, incarnation) } else server.offer(arrival)
        }
    }

    private fun unreachable(
        target: TargetHandle,
        startNanos: Long,
        incarnation: Long,
    ) {
        if (incarnation != node.incarnation) return
        val now = timers.nowNanos()
        calls.picker.onFinish(target, now, now - startNanos, AttemptOutcome.UNREACHABLE, null)
        next(CallOutcome(succeeded = false, isRefused = true), available = false)
    }

    private fun answered(
        target: TargetHandle,
        outcome: CallOutcome,
        startNanos: Long,
        load: LoadReport,
    ) {
        val now = timers.nowNanos()
        val kind =
            when {
                outcome.succeeded -> AttemptOutcome.SUCCESS
                outcome.isRefused ->
                    if (outcome.arrived &&
                        fleet.policy.countsBackendRefusalsAsFailures
                    ) {
                        AttemptOutcome.FAILURE
                    } else {
                        AttemptOutcome.SHED
                    }
                else -> AttemptOutcome.FAILURE
            }
        calls.picker.onFinish(target, now, now - startNanos, kind, load)
        if (isEnded) return
        if (outcome.succeeded) return finish(outcome)
        if (!outcome.isRefused) mayHaveRun = true
        if (outcome.isRefused) leastRetryAfterMs = listOfNotNull(leastRetryAfterMs, outcome.retryAfterMs).minOrNull()
        next(outcome, available = true)
    }

    private fun next(
        outcome: CallOutcome,
        available: Boolean,
    ) {
        if (isEnded) return
        val failed =
            FailedAttempt(
                verdict = if (outcome.isRefused) Verdict.NOT_RUN else Verdict.RAN,
                idempotent = route.idempotent,
                number = attempts - moves - detours,
                maxAttempts = route.maxAttempts,
                deadline = deadline,
                allowance = allowance,
                retryAfterMs = leastRetryAfterMs,
                serverError = !outcome.isRefused,
                arrived = outcome.arrived,
                available = available,
                moves = moves,
                detours = detours,
            )
        when (val choice = calls.retries.decide(failed, timers.nowNanos())) {
            is RetryDecision.GiveUp -> {
                if (!outcome.arrived && available && mayAskForLate()) return askForLate()
                finish(outcome.copy(isRefused = outcome.isRefused && !mayHaveRun, retryAfterMs = choice.retryAfterMs))
            }
            is RetryDecision.OtherTarget -> {
                if (choice.isMove) {
                    if (available) {
                        moves++
                    } else {
                        detours++
                    }
                }
                attempt()
            }
        }
    }

    private fun mayAskForLate() = fleet.policy.usesLateQueue && !isLastResort

    private fun askForLate() {
        isLastResort = true
        tried.clear()
        attempt()
    }

    private fun noTarget() {
        if (moves > 0 && mayAskForLate()) return askForLate()
        finish(CallOutcome(succeeded = false, isRefused = !mayHaveRun, retryAfterMs = leastRetryAfterMs ?: NO_TARGET_RETRY_MS))
    }

    private fun finish(outcome: CallOutcome) {
        if (isEnded) return
        isEnded = true
        end(outcome)
    }

    private companion object {
        const val NO_TARGET_RETRY_MS = 1_000L
    }
}
