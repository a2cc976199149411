package dev.lycheehill.node.egress

import dev.lycheehill.calls.balancing.AttemptOutcome
import dev.lycheehill.calls.verdict.Deadline
import dev.lycheehill.calls.verdict.FailedAttempt
import dev.lycheehill.calls.verdict.GiveUpReason
import dev.lycheehill.calls.verdict.RetryAllowance
import dev.lycheehill.calls.verdict.RetryDecision
import dev.lycheehill.core.Verdict
import dev.lycheehill.core.time.NANOS_PER_MILLI
import dev.lycheehill.node.http.CallHeaders
import dev.lycheehill.node.http.CallProgress
import dev.lycheehill.node.http.InboundCall
import dev.lycheehill.node.http.InboundCallListener
import dev.lycheehill.node.http.respondAfter
import dev.lycheehill.node.loop.LoopContext
import dev.lycheehill.node.relay.CollectedResponse
import dev.lycheehill.node.routing.RouteDecision
import dev.lycheehill.node.tracing.Hop
import dev.lycheehill.node.tracing.HopResult
import dev.lycheehill.node.upstream.ExchangeFailure
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * One call of a caller, from the routing decision to the response. Sends attempts to targets until one responds or the retry
 * policy gives up.
 *
 * Confined to the event loop of the caller's connection.
 *
 * @property keyHome the only target of a call with an idempotency key; null for other calls.
 */
internal class EgressCall(
    private val environment: EgressEnvironment,
    private val loop: LoopContext,
    private val call: InboundCall,
    private val decision: RouteDecision,
    private val keyHome: KeyHome? = null,
) : InboundCallListener {
    val service: ServiceCallState = environment.services.of(decision.service)
    val allowance: RetryAllowance =
        environment.allowances.forChild(TraceIds.traceIdOf(call.headers), call.headers.get(CallHeaders.RETRIES_LEFT))
    private val startNanos = System.nanoTime()
    private val span = environment.spans.start(Hop.EGRESS, call.headers.get(CallHeaders.TRACEPARENT))
    private val routeMetrics = environment.metrics.route(decision.route.name)

    val routeName: String get() = decision.route.name
    val version: Long get() = decision.version

    private val idempotent = decision.isIdempotent(call.method.name())
    private val deadline =
        Deadline.received(environment.dialect.deadlineMs(call.headers), decision.timeoutMs.toLong(), startNanos)
    private val isChild = environment.isChild(call)
    private val ageMs = if (isChild) 0 else estimatedAgeMs(environment.dialect.deadlineMs(call.headers))
    private val requestTemplate = RequestTemplate(call, decision, keyHome?.domain, environment.settings.callerService, isChild)
    private val triedTargetIds = ArrayList<String>(2)
    private val runningAttempts = ArrayList<EgressAttempt>(2)
    private val counts = AttemptCounts()
    private var isAcceptingLate = false
    private var homeRetries = 0
    private var mayHaveRun = false
    private var minRetryAfterMs: Long? = null
    private val responder = CallerResponder(call, decision.version, environment.dialect)
    private var streamingAttempt: EgressAttempt? = null
    private var deadlineTimer: ScheduledFuture<*>? = null
    private var hedgeTimer: ScheduledFuture<*>? = null

    fun start() {
        val now = System.nanoTime()
        call.listener = this
        service.retryPolicy.onCall(now, isChild)
        service.hedgePolicy.onCall(now)
        val graceNanos = 2 * environment.settings.deadlineGraceMs * NANOS_PER_MILLI
        if (environment.stopDeadline.isBefore(deadline, graceNanos)) {
            giveUp(CallFailure(Verdict.NOT_RUN, HttpResponseStatus.SERVICE_UNAVAILABLE, "stopping"), STOPPING_RETRY_MS)
            return
        }
        deadlineTimer = loop.eventLoop.schedule(::onDeadline, deadline.remainingNanos(now) + graceNanos, TimeUnit.NANOSECONDS)
        tryTarget()
        scheduleHedge()
    }

    override fun onCallerDisconnected() {
        val verdict = if (mayHaveRun || runningAttempts.any { it.isSent }) Verdict.MAY_HAVE_RUN else Verdict.NOT_RUN
        cancelAttemptsExcept(null)
        finish(verdict, null, CALLER_GONE)
    }

    override fun progress() =
        CallProgress(
            isPassedOn = mayHaveRun || streamingAttempt != null || runningAttempts.any { it.isSent },
            targetIds = triedTargetIds.toList(),
            leftMs = deadline.remainingMs(System.nanoTime()),
        )

    override fun onWritable() {
        streamingAttempt?.collector?.resume()
    }

    fun onComplete(
        attempt: EgressAttempt,
        response: CollectedResponse,
    ) {
        runningAttempts.remove(attempt)
        when (Verdict.fromHeader(response.headers.get(CallHeaders.VERDICT))) {
            Verdict.RAN -> if (isRetryable(response)) handleServerError(attempt, response) else handleResponse(attempt, response)
            Verdict.NOT_RUN -> handleRefusal(attempt, response)
            Verdict.MAY_HAVE_RUN -> handleUncertainResponse(attempt, response)
        }
    }

    fun onTooLarge(attempt: EgressAttempt) {
        cancelAttemptsExcept(attempt)
        hedgeTimer?.cancel(false)
        streamingAttempt = attempt
        val headers = attempt.collector.head.headers()
        attempt.collector.streamTo(call, responder.responseHeaders(headers))
    }

    fun onStreamComplete(attempt: EgressAttempt) {
        attempt.end(AttemptOutcome.SUCCESS, attempt.collector.head.headers())
        finish(Verdict.RAN, attempt.collector.head.status(), null)
    }

    fun onFailure(
        attempt: EgressAttempt,
        failure: ExchangeFailure,
    ) {
        runningAttempts.remove(attempt)
        // Set before the end of the attempt is recorded, because an error of the recording must not make the verdict "not run".
        if (failure.verdict != Verdict.NOT_RUN) mayHaveRun = true
        val unreachable = failure.kind == ExchangeFailure.Kind.CONNECT
        attempt.end(if (unreachable) AttemptOutcome.UNREACHABLE else AttemptOutcome.FAILURE, null)
        if (attempt === streamingAttempt) {
            call.abort()
            finish(Verdict.MAY_HAVE_RUN, null, failure.kind.reason)
            return
        }
        if (failure.kind == ExchangeFailure.Kind.SILENT) environment.metrics.countSilentConnection()
        if (failure.verdict == Verdict.NOT_RUN) attempt.giveBackRetries()
        val status = if (failure.kind == ExchangeFailure.Kind.SILENT) HttpResponseStatus.GATEWAY_TIMEOUT else HttpResponseStatus.BAD_GATEWAY
        retryOrFail(
            CallFailure(failure.verdict, status, failure.kind.reason, arrived = failure.verdict != Verdict.NOT_RUN, available = false),
        )
    }

    private fun handleResponse(
        attempt: EgressAttempt,
        response: CollectedResponse,
    ) {
        respondAfter({
            cancelAttemptsExcept(null)
            finish(Verdict.RAN, response.status, null)
            attempt.end(response.status.toAttemptOutcome(), response.headers)
        }) { responder.sendBackendResponse(response) }
    }

    // The caller receives the latest server error unless a later attempt succeeds.
    private fun handleServerError(
        attempt: EgressAttempt,
        response: CollectedResponse,
    ) {
        mayHaveRun = true
        responder.keepResponse(response)
        attempt.end(AttemptOutcome.FAILURE, response.headers)
        retryOrFail(CallFailure(Verdict.RAN, response.status, "backend-failed", serverError = true))
    }

    private fun handleRefusal(
        attempt: EgressAttempt,
        response: CollectedResponse,
    ) {
        response.body.release()
        val unavailable = response.headers.contains(CallHeaders.UNAVAILABLE)
        val arrived = response.headers.contains(CallHeaders.ARRIVED)
        attempt.end(attemptOutcomeOfRefusal(unavailable, arrived), response.headers)
        attempt.giveBackRetries()
        val retryAfterMs = response.headers.get(CallHeaders.RETRY_AFTER_MS)?.toLongOrNull()
        if (retryAtHome(retryAfterMs)) return
        minRetryAfterMs = listOfNotNull(minRetryAfterMs, retryAfterMs).minOrNull()
        retryOrFail(
            CallFailure(
                verdict = Verdict.NOT_RUN,
                status = response.status,
                reason = reasonOf(response.headers),
                repeatable = response.status.code() != UNPROCESSABLE_ENTITY,
                retryAfterMs = minRetryAfterMs,
                arrived = arrived,
                available = !unavailable,
            ),
        )
    }

    // A refusal by the backend server itself, although its node had a free slot, does not indicate load: the next call would fail,
    // too, so the picker has to treat the refusal as a failure.
    private fun attemptOutcomeOfRefusal(
        unavailable: Boolean,
        arrived: Boolean,
    ): AttemptOutcome =
        when {
            unavailable -> AttemptOutcome.UNREACHABLE
            arrived -> AttemptOutcome.FAILURE
            else -> AttemptOutcome.SHED
        }

    // The home of an idle key domain first needs one round of vouchers. A retry from here is faster than one by the caller, which
    // adds a round trip. Returns whether a retry is scheduled.
    private fun retryAtHome(retryAfterMs: Long?): Boolean {
        if (keyHome == null || homeRetries == MAX_HOME_RETRIES) return false
        if (retryAfterMs == null || retryAfterMs > MAX_HOME_RETRY_DELAY_MS) return false
        homeRetries++
        scheduleAttempt(retryAfterMs)
        return true
    }

    private fun handleUncertainResponse(
        attempt: EgressAttempt,
        response: CollectedResponse,
    ) {
        mayHaveRun = true
        response.body.release()
        attempt.end(AttemptOutcome.FAILURE, response.headers)
        retryOrFail(
            CallFailure(
                Verdict.MAY_HAVE_RUN,
                response.status,
                reasonOf(response.headers),
                response.status != HttpResponseStatus.CONFLICT,
            ),
        )
    }

    private fun tryTarget() {
        val now = System.nanoTime()
        if (deadline.isExpired(now)) {
            giveUp(CallFailure(Verdict.NOT_RUN, HttpResponseStatus.GATEWAY_TIMEOUT, "deadline"), null)
            return
        }
        service.refresh(environment.endpoints.targets(decision.service.name), now)
        val target = if (keyHome == null) service.picker.pick(now, triedTargetIds) else service.picker.find(keyHome.nodeId)
        if (target == null) {
            handleNoTarget()
            return
        }
        counts.onAttemptStart()
        triedTargetIds.add(target.info.id)
        service.picker.onStart(target, now)
        val attemptSpan = environment.spans.start(Hop.ATTEMPT, span.traceparent)
        send(EgressAttempt(this, target, allowance.lend(), counts.attempts, attemptSpan), now)
    }

    private fun mayAcceptLate() = !isAcceptingLate && keyHome == null && decision.route.aimMs != null

    // After targets rejected the call because they cannot respond within its aim, a target is asked for a late response.
    private fun retryAcceptingLate() {
        isAcceptingLate = true
        triedTargetIds.clear()
        tryTarget()
    }

    private fun handleNoTarget() {
        if (counts.moves > 0 && mayAcceptLate()) return retryAcceptingLate()
        val reason =
            when {
                keyHome != null -> "key-home-gone"
                environment.endpoints.targets(decision.service.name).isEmpty() -> "no-target"
                else -> "no-room"
            }
        giveUp(CallFailure(Verdict.NOT_RUN, HttpResponseStatus.SERVICE_UNAVAILABLE, reason), minRetryAfterMs ?: NO_TARGET_RETRY_MS)
    }

    private fun send(
        attempt: EgressAttempt,
        nowNanos: Long,
    ) {
        runningAttempts.add(attempt)
        attempt.send(loop, environment.settings, progressMs(nowNanos), call.body) { callId, progressMs ->
            requestTemplate.newHead(
                callId = callId,
                targetId = attempt.target.info.id,
                aimMs = remainingAimMs(nowNanos),
                acceptsLate = isAcceptingLate,
                deadlineMs = deadline.remainingMs(nowNanos),
                retriesLeft = attempt.lentRetries.takeIf { environment.settings.propagatesRetryAllowance },
                statements = service.targetStatements.headersFor(attempt.target.info.id, nowNanos),
                progressMs = progressMs,
                traceparent = attempt.span.traceparent,
            )
        }
    }

    private fun progressMs(nowNanos: Long): Long {
        val remainingMs = deadline.remainingMs(nowNanos)
        if (environment.settings.endsSilentCalls) return service.progressLimitMs(remainingMs, idempotent)
        return remainingMs + 2 * environment.settings.deadlineGraceMs
    }

    private fun remainingAimMs(nowNanos: Long): Long? =
        decision.route.aimMs?.let { (it - ageMs - (nowNanos - startNanos) / NANOS_PER_MILLI).coerceAtLeast(0) }

    private fun retryOrFail(failure: CallFailure) {
        counts.onAttemptEnd(failure)
        if (runningAttempts.isNotEmpty()) return
        val failed =
            FailedAttempt(
                verdict = failure.verdict,
                idempotent = idempotent,
                number = counts.countedAttempts,
                maxAttempts = decision.route.maxAttempts,
                deadline = deadline,
                allowance = allowance,
                repeatable = failure.repeatable && keyHome == null,
                retryAfterMs = failure.retryAfterMs,
                serverError = failure.serverError,
                arrived = failure.arrived,
                available = failure.available,
                moves = counts.moves,
                detours = counts.detours,
            )
        when (val choice = service.retryPolicy.decide(failed, System.nanoTime())) {
            is RetryDecision.GiveUp -> {
                if (!failure.arrived && failure.available && mayAcceptLate()) return retryAcceptingLate()
                if (choice.reason == GiveUpReason.BUDGET) routeMetrics.countDeniedRetry()
                giveUp(failure, choice.retryAfterMs)
            }
            is RetryDecision.OtherTarget -> {
                if (!choice.isMove) routeMetrics.countRetry()
                counts.onRetry(failure, choice)
                scheduleAttempt(choice.delayMs)
            }
        }
    }

    // Estimated age of the call, from the time limit that its request states. A child call states the remaining time of its parent
    // request, which does not indicate the age of the child call.
    private fun estimatedAgeMs(statedMs: String?): Long =
        statedMs?.trim()?.toLongOrNull()?.let { environment.requestAges.ageMs(routeName, it) } ?: 0

    private fun isRetryable(response: CollectedResponse): Boolean =
        environment.settings.retriesServerErrors && idempotent && response.status.code() in RETRYABLE_STATUSES

    private fun scheduleAttempt(delayMs: Long) {
        if (delayMs == 0L) tryTarget() else loop.eventLoop.schedule({ if (!call.isAnswered) tryTarget() }, delayMs, TimeUnit.MILLISECONDS)
    }

    // A request with an idempotency key may run at its home target only, so no hedge is sent to a second target.
    private fun scheduleHedge() {
        val mayHedge = idempotent && !call.headers.contains(CallHeaders.IDEMPOTENCY_KEY)
        val delayNanos = service.hedgePolicy.delayNanos(mayHedge, startNanos)
        if (delayNanos == null || call.isAnswered) return
        hedgeTimer = loop.eventLoop.schedule(::startHedge, delayNanos, TimeUnit.NANOSECONDS)
    }

    private fun startHedge() {
        if (call.isAnswered || streamingAttempt != null || runningAttempts.size != 1) return
        val now = System.nanoTime()
        if (deadline.isExpired(now) || !service.hedgePolicy.tryHedge(now)) return
        routeMetrics.countHedge()
        tryTarget()
    }

    private fun onDeadline() {
        if (call.isAnswered && streamingAttempt == null) return
        mayHaveRun = mayHaveRun || runningAttempts.any { it.isSent }
        respondAfter({ cancelAttemptsExcept(null) }, ::endAtDeadline)
    }

    private fun endAtDeadline() {
        if (streamingAttempt == null) {
            giveUp(CallFailure(Verdict.NOT_RUN, HttpResponseStatus.GATEWAY_TIMEOUT, "deadline"), null)
            return
        }
        call.abort()
        finish(Verdict.MAY_HAVE_RUN, null, "deadline")
    }

    // The last attempt alone does not determine the verdict: an earlier attempt of an idempotent call may have run.
    private fun giveUp(
        failure: CallFailure,
        retryAfterMs: Long?,
    ) {
        val kept = responder.takeKeptResponse()
        if (kept != null) {
            respondAfter({ finish(Verdict.RAN, kept.status, failure.reason) }) { responder.sendBackendResponse(kept) }
            return
        }
        val verdict = if (mayHaveRun) Verdict.MAY_HAVE_RUN else failure.verdict
        respondAfter({ finish(verdict, failure.status, failure.reason) }) { responder.sendFailure(failure, verdict, retryAfterMs) }
    }

    private fun finish(
        verdict: Verdict,
        status: HttpResponseStatus?,
        reason: String?,
    ) {
        deadlineTimer?.cancel(false)
        hedgeTimer?.cancel(false)
        responder.releaseKeptResponse()
        val now = System.nanoTime()
        routeMetrics.recordCall(verdict, now - startNanos)
        val result =
            HopResult(
                route = routeName,
                version = version,
                target = triedTargetIds.lastOrNull(),
                attempt = counts.attempts,
                verdict = verdict,
                status = status?.code(),
                reason = reason,
            )
        span.end(result)
        if (result.failed || counts.attempts > 1) environment.log(this, result)
    }

    /** Returns the fields of the decision-log event about the end of this call. */
    fun logFields(): Array<Pair<String, Any?>> =
        arrayOf(
            "request" to environment.dialect.requestId(call.headers),
            "service" to decision.service.name,
            "targets" to triedTargetIds.joinToString(" "),
            "arrivals" to counts.arrivals,
            "moves" to counts.moves,
            "detours" to counts.detours,
            "child" to isChild,
            "priority" to decision.route.priority,
            "age_ms" to ageMs,
            "elapsed_ms" to (System.nanoTime() - startNanos) / NANOS_PER_MILLI,
            "deadline_ms" to (deadline.atNanos - startNanos) / NANOS_PER_MILLI,
        )

    private fun cancelAttemptsExcept(kept: EgressAttempt?) {
        runningAttempts.filter { it !== kept }.forEach { it.cancel() }
        runningAttempts.removeAll { it !== kept }
    }

    private fun reasonOf(headers: HttpHeaders): String = headers.get(CallHeaders.REASON) ?: "refused"

    private companion object {
        const val UNPROCESSABLE_ENTITY = 422
        const val CALLER_GONE = "caller-gone"
        const val NO_TARGET_RETRY_MS = 1_000L

        // The caller connects to another node by then.
        const val STOPPING_RETRY_MS = 100L
        const val MAX_HOME_RETRY_DELAY_MS = 100L
        const val MAX_HOME_RETRIES = 4

        // Excludes 501 (not implemented), which a retry does not change, and 504 (gateway timeout), after which no time is left.
        val RETRYABLE_STATUSES = setOf(500, 502, 503)
    }
}
