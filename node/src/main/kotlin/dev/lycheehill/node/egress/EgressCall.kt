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
import dev.lycheehill.node.http.InboundCall
import dev.lycheehill.node.http.InboundCallListener
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
 * One call of a caller, from its route to its response. It tries targets until one answers or the retry policy ends it.
 *
 * Used on the event loop of the caller's connection only.
 */
internal class EgressCall(
    private val environment: EgressEnvironment,
    private val loop: LoopContext,
    private val call: InboundCall,
    private val decision: RouteDecision,
    private val home: KeyHome? = null,
) : InboundCallListener {
    val service: ServiceCallState = environment.services.of(decision.service)
    val allowance: RetryAllowance =
        environment.allowances.forChild(TraceIds.traceIdOf(call.headers), call.headers.get(CallHeaders.RETRIES_LEFT))
    private val startNanos = System.nanoTime()
    private val span = environment.spans.start(Hop.EGRESS, call.headers.get(CallHeaders.TRACEPARENT))
    private val meters = environment.metrics.route(decision.route.name)

    val routeName: String get() = decision.route.name
    val version: Long get() = decision.version

    private val idempotent = decision.isIdempotent(call.method.name())
    private val deadline =
        Deadline.received(environment.dialect.deadlineMs(call.headers), decision.timeoutMs.toLong(), startNanos)
    private val isChild = environment.isChild(call)
    private val ageMs = if (isChild) 0 else ageOf(environment.dialect.deadlineMs(call.headers))
    private val template = RequestTemplate(call, decision, home?.domain, environment.settings.callerService, isChild)
    private val tried = ArrayList<String>(2)
    private val running = ArrayList<EgressAttempt>(2)
    private val counts = AttemptCounts()
    private var isLastResort = false
    private var homeRetries = 0
    private var mayHaveRun = false
    private var leastRetryAfterMs: Long? = null
    private val answer = CallerResponder(call, decision.version, environment.dialect)
    private var streaming: EgressAttempt? = null
    private var timer: ScheduledFuture<*>? = null
    private var hedgeTimer: ScheduledFuture<*>? = null

    fun start() {
        val now = System.nanoTime()
        call.listener = this
        service.retryPolicy.onCall(now, isChild)
        service.hedgePolicy.onCall(now)
        val graceNanos = 2 * environment.settings.deadlineGraceMs * NANOS_PER_MILLI
        timer = loop.eventLoop.schedule(::onDeadline, deadline.remainingNanos(now) + graceNanos, TimeUnit.NANOSECONDS)
        attempt()
        scheduleHedge()
    }

    override fun onCallerDisconnected() {
        val verdict = if (mayHaveRun || running.any { it.isSent }) Verdict.MAY_HAVE_RUN else Verdict.NOT_RUN
        cancelAllBut(null)
        ended(verdict, null, CALLER_GONE)
    }

    override fun onWritable() {
        streaming?.collector?.resume()
    }

    fun onComplete(
        attempt: EgressAttempt,
        response: CollectedResponse,
    ) {
        running.remove(attempt)
        when (Verdict.fromHeader(response.headers.get(CallHeaders.VERDICT))) {
            Verdict.RAN -> if (isRepeatable(response)) failedByBackend(attempt, response) else answered(attempt, response)
            Verdict.NOT_RUN -> refused(attempt, response)
            Verdict.MAY_HAVE_RUN -> uncertain(attempt, response)
        }
    }

    fun onTooLarge(attempt: EgressAttempt) {
        cancelAllBut(attempt)
        hedgeTimer?.cancel(false)
        streaming = attempt
        val headers = attempt.collector.head.headers()
        attempt.collector.streamTo(call, answer.headers(headers))
    }

    fun onStreamComplete(attempt: EgressAttempt) {
        attempt.end(AttemptOutcome.SUCCESS, attempt.collector.head.headers())
        ended(Verdict.RAN, attempt.collector.head.status(), null)
    }

    fun onFailure(
        attempt: EgressAttempt,
        failure: ExchangeFailure,
    ) {
        running.remove(attempt)
        val unreachable = failure.kind == ExchangeFailure.Kind.CONNECT
        attempt.end(if (unreachable) AttemptOutcome.UNREACHABLE else AttemptOutcome.FAILURE, null)
        if (attempt === streaming) {
            call.abort()
            ended(Verdict.MAY_HAVE_RUN, null, failure.kind.reason)
            return
        }
        if (failure.kind == ExchangeFailure.Kind.SILENT) environment.metrics.countSilentConnection()
        if (failure.verdict == Verdict.NOT_RUN) attempt.giveBackRetries() else mayHaveRun = true
        val status = if (failure.kind == ExchangeFailure.Kind.SILENT) HttpResponseStatus.GATEWAY_TIMEOUT else HttpResponseStatus.BAD_GATEWAY
        next(CallFailure(failure.verdict, status, failure.kind.reason, arrived = failure.verdict != Verdict.NOT_RUN, available = false))
    }

    private fun answered(
        attempt: EgressAttempt,
        response: CollectedResponse,
    ) {
        cancelAllBut(null)
        ended(Verdict.RAN, response.status, null)
        attempt.end(response.status.toAttemptOutcome(), response.headers)
        answer.send(response)
    }

    // The answer of the last backend server is the caller's, unless a later one succeeds.
    private fun failedByBackend(
        attempt: EgressAttempt,
        response: CollectedResponse,
    ) {
        attempt.end(AttemptOutcome.FAILURE, response.headers)
        answer.keep(response)
        mayHaveRun = true
        next(CallFailure(Verdict.RAN, response.status, "backend-failed", serverError = true))
    }

    private fun refused(
        attempt: EgressAttempt,
        response: CollectedResponse,
    ) {
        response.body.release()
        val unavailable = response.headers.contains(CallHeaders.UNAVAILABLE)
        val arrived = response.headers.contains(CallHeaders.ARRIVED)
        attempt.end(refusalOutcome(unavailable, arrived), response.headers)
        attempt.giveBackRetries()
        val retryAfterMs = response.headers.get(CallHeaders.RETRY_AFTER_MS)?.toLongOrNull()
        if (isRepeatedAtHome(retryAfterMs)) return
        leastRetryAfterMs = listOfNotNull(leastRetryAfterMs, retryAfterMs).minOrNull()
        next(
            CallFailure(
                verdict = Verdict.NOT_RUN,
                status = response.status,
                reason = reasonOf(response.headers),
                repeatable = response.status.code() != UNPROCESSABLE,
                retryAfterMs = leastRetryAfterMs,
                arrived = arrived,
                available = !unavailable,
            ),
        )
    }

    // A backend server that refuses although its node found a slot free says nothing of its load and fails the next call, too.
    private fun refusalOutcome(
        unavailable: Boolean,
        arrived: Boolean,
    ): AttemptOutcome =
        when {
            unavailable -> AttemptOutcome.UNREACHABLE
            arrived -> AttemptOutcome.FAILURE
            else -> AttemptOutcome.SHED
        }

    // The home of an idle key domain needs one round of vouchers, which is shorter than a round trip to the caller and back.
    private fun isRepeatedAtHome(retryAfterMs: Long?): Boolean {
        if (home == null || homeRetries == HOME_RETRIES) return false
        if (retryAfterMs == null || retryAfterMs > MAX_HOME_RETRY_MS) return false
        homeRetries++
        retryAfter(retryAfterMs)
        return true
    }

    private fun uncertain(
        attempt: EgressAttempt,
        response: CollectedResponse,
    ) {
        response.body.release()
        attempt.end(AttemptOutcome.FAILURE, response.headers)
        mayHaveRun = true
        next(CallFailure(Verdict.MAY_HAVE_RUN, response.status, reasonOf(response.headers), response.status != HttpResponseStatus.CONFLICT))
    }

    private fun attempt() {
        val now = System.nanoTime()
        if (deadline.isExpired(now)) {
            sendFailure(CallFailure(Verdict.NOT_RUN, HttpResponseStatus.GATEWAY_TIMEOUT, "deadline"), null)
            return
        }
        service.refresh(environment.endpoints.targets(decision.service.name), now)
        val target = if (home == null) service.picker.pick(now, tried) else service.picker.find(home.nodeId)
        if (target == null) {
            noTarget()
            return
        }
        counts.onAttempt()
        tried.add(target.info.id)
        service.picker.onStart(target, now)
        val attemptSpan = environment.spans.start(Hop.ATTEMPT, span.traceparent)
        send(EgressAttempt(this, target, allowance.lend(), counts.attempts, attemptSpan), now)
    }

    private fun mayAskForLate() = !isLastResort && home == null && decision.route.aimMs != null

    // When the targets refuse to answer within the aim, one is asked for a later answer.
    private fun askForLate() {
        isLastResort = true
        tried.clear()
        attempt()
    }

    private fun noTarget() {
        if (counts.moves > 0 && mayAskForLate()) return askForLate()
        val reason =
            when {
                home != null -> "key-home-gone"
                environment.endpoints.targets(decision.service.name).isEmpty() -> "no-target"
                else -> "no-room"
            }
        sendFailure(CallFailure(Verdict.NOT_RUN, HttpResponseStatus.SERVICE_UNAVAILABLE, reason), leastRetryAfterMs ?: NO_TARGET_RETRY_MS)
    }

    private fun send(
        attempt: EgressAttempt,
        nowNanos: Long,
    ) {
        running.add(attempt)
        attempt.send(loop, environment.settings, progressMs(nowNanos), call.body) { callId, progressMs ->
            template.head(
                callId = callId,
                targetId = attempt.target.info.id,
                aimMs = aimMs(nowNanos),
                acceptsLate = isLastResort,
                deadlineMs = deadline.remainingMs(nowNanos),
                retriesLeft = attempt.lentRetries.takeIf { environment.settings.propagatesRetryAllowance },
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

    private fun aimMs(nowNanos: Long): Long? =
        decision.route.aimMs?.let { (it - ageMs - (nowNanos - startNanos) / NANOS_PER_MILLI).coerceAtLeast(0) }

    private fun next(outcome: CallFailure) {
        counts.onEnd(outcome)
        if (running.isNotEmpty()) return
        val failed =
            FailedAttempt(
                verdict = outcome.verdict,
                idempotent = idempotent,
                number = counts.tries,
                maxAttempts = decision.route.maxAttempts,
                deadline = deadline,
                allowance = allowance,
                repeatable = outcome.repeatable && home == null,
                retryAfterMs = outcome.retryAfterMs,
                serverError = outcome.serverError,
                arrived = outcome.arrived,
                available = outcome.available,
                moves = counts.moves,
                detours = counts.detours,
            )
        when (val choice = service.retryPolicy.decide(failed, System.nanoTime())) {
            is RetryDecision.GiveUp -> {
                if (!outcome.arrived && outcome.available && mayAskForLate()) return askForLate()
                if (choice.reason == GiveUpReason.BUDGET) meters.countDeniedRetry()
                sendFailure(outcome, choice.retryAfterMs)
            }
            is RetryDecision.OtherTarget -> {
                if (!choice.isMove) meters.countRetry()
                counts.onNext(outcome, choice)
                retryAfter(choice.delayMs)
            }
        }
    }

    // Calls of a running request state what is left of its time, which says nothing of their own age.
    private fun ageOf(statedMs: String?): Long = statedMs?.trim()?.toLongOrNull()?.let { environment.ages.ageMs(routeName, it) } ?: 0

    private fun isRepeatable(response: CollectedResponse): Boolean =
        environment.settings.retriesServerErrors && idempotent && response.status.code() in REPEATABLE_ERRORS

    private fun retryAfter(delayMs: Long) {
        if (delayMs == 0L) attempt() else loop.eventLoop.schedule({ if (!call.isAnswered) attempt() }, delayMs, TimeUnit.MILLISECONDS)
    }

    // A request with a key runs at its home only, so it is not sent to a second target.
    private fun scheduleHedge() {
        val mayHedge = idempotent && !call.headers.contains(CallHeaders.IDEMPOTENCY_KEY)
        val delayNanos = service.hedgePolicy.delayNanos(mayHedge, startNanos)
        if (delayNanos == null || call.isAnswered) return
        hedgeTimer = loop.eventLoop.schedule(::hedge, delayNanos, TimeUnit.NANOSECONDS)
    }

    private fun hedge() {
        if (call.isAnswered || streaming != null || running.size != 1) return
        val now = System.nanoTime()
        if (deadline.isExpired(now) || !service.hedgePolicy.tryHedge(now)) return
        meters.countHedge()
        attempt()
    }

    private fun onDeadline() {
        if (call.isAnswered && streaming == null) return
        mayHaveRun = mayHaveRun || running.any { it.isSent }
        cancelAllBut(null)
        if (streaming == null) {
            sendFailure(CallFailure(Verdict.NOT_RUN, HttpResponseStatus.GATEWAY_TIMEOUT, "deadline"), null)
            return
        }
        call.abort()
        ended(Verdict.MAY_HAVE_RUN, null, "deadline")
    }

    // An earlier attempt of an idempotent call may have run even if the last one did not.
    private fun sendFailure(
        outcome: CallFailure,
        retryAfterMs: Long?,
    ) {
        val kept = answer.takeKept()
        if (kept != null) {
            ended(Verdict.RAN, kept.status, outcome.reason)
            answer.send(kept)
            return
        }
        val verdict = if (mayHaveRun) Verdict.MAY_HAVE_RUN else outcome.verdict
        ended(verdict, outcome.status, outcome.reason)
        answer.sendFailure(outcome, verdict, retryAfterMs)
    }

    private fun ended(
        verdict: Verdict,
        status: HttpResponseStatus?,
        reason: String?,
    ) {
        timer?.cancel(false)
        hedgeTimer?.cancel(false)
        answer.release()
        val now = System.nanoTime()
        meters.recordCall(verdict, now - startNanos)
        val result =
            HopResult(
                route = routeName,
                version = version,
                target = tried.lastOrNull(),
                attempt = counts.attempts,
                verdict = verdict,
                status = status?.code(),
                reason = reason,
            )
        span.end(result)
        if (result.failed || counts.attempts > 1) environment.log(this, result)
    }

    /** Fields of the log line about the end of this call. */
    fun describe(): Array<Pair<String, Any?>> =
        arrayOf(
            "request" to environment.dialect.requestId(call.headers),
            "service" to decision.service.name,
            "targets" to tried.joinToString(" "),
            "arrivals" to counts.arrivals,
            "moves" to counts.moves,
            "detours" to counts.detours,
            "child" to isChild,
            "priority" to decision.route.priority,
            "age_ms" to ageMs,
            "elapsed_ms" to (System.nanoTime() - startNanos) / NANOS_PER_MILLI,
            "deadline_ms" to (deadline.atNanos - startNanos) / NANOS_PER_MILLI,
        )

    private fun cancelAllBut(kept: EgressAttempt?) {
        running.filter { it !== kept }.forEach { it.cancel() }
        running.removeAll { it !== kept }
    }

    private fun reasonOf(headers: HttpHeaders): String = headers.get(CallHeaders.REASON) ?: "refused"

    private companion object {
        const val UNPROCESSABLE = 422
        const val CALLER_GONE = "caller-gone"
        const val NO_TARGET_RETRY_MS = 1_000L
        const val MAX_HOME_RETRY_MS = 100L
        const val HOME_RETRIES = 4

        // Server errors but "not implemented" and "gateway timeout", after which no time is left.
        val REPEATABLE_ERRORS = setOf(500, 502, 503)
    }
}
