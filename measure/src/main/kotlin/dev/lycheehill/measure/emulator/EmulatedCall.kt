package dev.lycheehill.measure.emulator

import dev.lycheehill.calls.balancing.AttemptOutcome
import dev.lycheehill.calls.balancing.LoadReport
import dev.lycheehill.calls.balancing.TargetHandle
import dev.lycheehill.calls.verdict.Deadline
import dev.lycheehill.calls.verdict.FailedAttempt
import dev.lycheehill.calls.verdict.RetryAllowance
import dev.lycheehill.calls.verdict.RetryDecision
import dev.lycheehill.core.Verdict

/**
 * One call at the node of its caller. Targets and retries are chosen by the production code.
 *
 * @property aim soft deadline, within which a response has its full worth.
 * @property isChild whether the call is made by a running request.
 */
internal class EmulatedCall(
    private val fleet: EmulatedFleet,
    private val node: EmulatedNode,
    val route: EmulatedRoute,
    val deadline: Deadline,
    val aim: Deadline,
    val isChild: Boolean,
    private val onEnd: (CallOutcome) -> Unit,
) {
    private val timers = fleet.timers
    private val allowance = RetryAllowance()
    private val triedTargetIds = ArrayList<String>(2)
    private val callState = node.callStateOf(route.service)
    private var attempts = 0
    private var moves = 0
    private var detours = 0
    private var acceptsLate = false
    private var isEnded = false
    private var mayHaveRun = false
    private var minRetryAfterMs: Long? = null

    fun start() {
        callState.retryPolicy.onCall(timers.nowNanos(), isChild)
        timers.after(deadline.remainingMs(timers.nowNanos())) { finish(CallOutcome(succeeded = false)) }
        attempt()
    }

    private fun attempt() {
        if (isEnded) return
        val now = timers.nowNanos()
        val target = callState.picker.pick(now, triedTargetIds) ?: return onNoTarget()
        attempts++
        triedTargetIds.add(target.info.id)
        callState.picker.onStart(target, now)
        val server = fleet.server(target.info.id)
        val oneWayLatencyMs = fleet.oneWayLatencyMs(node.zone, server.zone)
        fleet.tally.recordCall(betweenZones = node.zone != server.zone)
        val incarnation = node.incarnation
        timers.after(oneWayLatencyMs) {
            val emulatedAttempt =
                EmulatedAttempt(this, acceptsLate, timers.nowNanos()) { outcome ->
                    val load = server.loadReport()
                    timers.after(oneWayLatencyMs) { if (incarnation == node.incarnation) onResponse(target, outcome, now, load) }
                }
            if (fleet.isDown) timers.after(oneWayLatencyMs) { onUnreachable(target, now, incarnation) } else server.offer(emulatedAttempt)
        }
    }

    private fun onUnreachable(
        target: TargetHandle,
        startNanos: Long,
        incarnation: Long,
    ) {
        if (incarnation != node.incarnation) return
        val now = timers.nowNanos()
        callState.picker.onFinish(target, now, now - startNanos, AttemptOutcome.UNREACHABLE, null)
        onAttemptFailed(CallOutcome(succeeded = false, isRefused = true), available = false)
    }

    private fun onResponse(
        target: TargetHandle,
        outcome: CallOutcome,
        startNanos: Long,
        load: LoadReport,
    ) {
        val now = timers.nowNanos()
        val attemptOutcome =
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
        callState.picker.onFinish(target, now, now - startNanos, attemptOutcome, load)
        if (isEnded) return
        if (outcome.succeeded) return finish(outcome)
        if (!outcome.isRefused) mayHaveRun = true
        if (outcome.isRefused) minRetryAfterMs = listOfNotNull(minRetryAfterMs, outcome.retryAfterMs).minOrNull()
        onAttemptFailed(outcome, available = true)
    }

    private fun onAttemptFailed(
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
                retryAfterMs = minRetryAfterMs,
                serverError = !outcome.isRefused,
                arrived = outcome.arrived,
                available = available,
                moves = moves,
                detours = detours,
            )
        when (val decision = callState.retryPolicy.decide(failed, timers.nowNanos())) {
            is RetryDecision.GiveUp -> {
                if (!outcome.arrived && available && mayUseLateQueue()) return attemptLate()
                finish(outcome.copy(isRefused = outcome.isRefused && !mayHaveRun, retryAfterMs = decision.retryAfterMs))
            }
            is RetryDecision.OtherTarget -> {
                if (decision.isMove) {
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

    private fun mayUseLateQueue() = fleet.policy.usesLateQueue && !acceptsLate

    private fun attemptLate() {
        acceptsLate = true
        triedTargetIds.clear()
        attempt()
    }

    private fun onNoTarget() {
        if (moves > 0 && mayUseLateQueue()) return attemptLate()
        finish(CallOutcome(succeeded = false, isRefused = !mayHaveRun, retryAfterMs = minRetryAfterMs ?: NO_TARGET_RETRY_MS))
    }

    private fun finish(outcome: CallOutcome) {
        if (isEnded) return
        isEnded = true
        onEnd(outcome)
    }

    private companion object {
        const val NO_TARGET_RETRY_MS = 1_000L
    }
}
