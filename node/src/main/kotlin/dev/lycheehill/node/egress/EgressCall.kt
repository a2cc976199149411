package dev.lycheehill.node.egress

import dev.lycheehill.calls.balancing.AttemptOutcome
import dev.lycheehill.calls.verdict.Deadline
import dev.lycheehill.calls.verdict.FailedAttempt
import dev.lycheehill.calls.verdict.GiveUpReason
import dev.lycheehill.calls.verdict.RetryAllowance
import dev.lycheehill.calls.verdict.RetryDecision
import dev.lycheehill.core.Verdict
import dev.lycheehill.node.http.CallHeaders
import dev.lycheehill.node.http.HeaderRules
import dev.lycheehill.node.http.InboundCall
import dev.lycheehill.node.http.InboundCallListener
import dev.lycheehill.node.http.NodeResponses
import dev.lycheehill.node.loop.LoopContext
import dev.lycheehill.node.relay.CollectedResponse
import dev.lycheehill.node.relay.ResponseCollector
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
    val service: ServiceCalls = environment.services.of(decision.service)
    val allowance: RetryAllowance =
        environment.allowances.forChild(TraceIds.treeOf(call.headers), call.headers.get(CallHeaders.RETRIES_LEFT))
    private val startNanos = System.nanoTime()
    private val span = environment.spans.start(Hop.EGRESS, call.headers.get(CallHeaders.TRACEPARENT))
    private val meters = environment.metrics.route(decision.route.name)

    val routeName: String get() = decision.route.name
    val version: Long get() = decision.version

    private val idempotent = decision.isIdempotent(call.method.name())
    private val deadline =
        Deadline.received(call.headers.get(CallHeaders.DEADLINE_MS), decision.timeoutMs.toLong(), startNanos)
    private val template = RequestTemplate(call, decision, home?.domain)
    private val tried = ArrayList<String>(2)
    private val running = ArrayList<EgressAttempt>(2)
    private var attempts = 0
    private var homeRetries = 0
    private var mayHaveRun = false
    private var streaming: EgressAttempt? = null
    private var timer: ScheduledFuture<*>? = null
    private var hedgeTimer: ScheduledFuture<*>? = null

    fun start() {
        val now = System.nanoTime()
        call.listener = this
        service.retries.onCall(now)
        service.hedges.onCall(now)
        timer = loop.eventLoop.schedule(::onDeadline, deadline.remainingNanos(now), TimeUnit.NANOSECONDS)
        attempt()
        scheduleHedge()
    }

    override fun onCallerGone() {
        val verdict = if (mayHaveRun || running.any { it.isSent }) Verdict.MAY_HAVE_RUN else Verdict.NOT_RUN
        cancelAllBut(null)
        ended(verdict, null, "caller-gone")
    }

    override fun onWritable() {
        streaming?.collector?.resume()
    }

    fun onWhole(
        attempt: EgressAttempt,
        response: CollectedResponse,
    ) {
        running.remove(attempt)
        when (Verdict.fromHeader(response.headers.get(CallHeaders.VERDICT))) {
            Verdict.RAN -> answer(attempt, response)
            Verdict.NOT_RUN -> refused(attempt, response)
            Verdict.MAY_HAVE_RUN -> uncertain(attempt, response)
        }
    }

    fun onTooLong(attempt: EgressAttempt) {
        cancelAllBut(attempt)
        hedgeTimer?.cancel(false)
        streaming = attempt
        val headers = attempt.collector.head.headers()
        attempt.collector.streamTo(call, callerHeaders(headers, Verdict.RAN))
    }

    fun onStreamed(attempt: EgressAttempt) {
        attempt.end(AttemptOutcome.SUCCESS, attempt.collector.head.headers())
        ended(Verdict.RAN, attempt.collector.head.status(), null)
    }

    fun onFailure(
        attempt: EgressAttempt,
        failure: ExchangeFailure,
    ) {
        running.remove(attempt)
        attempt.end(AttemptOutcome.FAILURE, null)
        if (attempt === streaming) {
            call.abort()
            ended(Verdict.MAY_HAVE_RUN, null, failure.kind.reason)
            return
        }
        if (failure.kind == ExchangeFailure.Kind.SILENT) environment.metrics.silentConnection()
        if (failure.verdict == Verdict.NOT_RUN) attempt.giveBackRetries() else mayHaveRun = true
        val status = if (failure.kind == ExchangeFailure.Kind.SILENT) HttpResponseStatus.GATEWAY_TIMEOUT else HttpResponseStatus.BAD_GATEWAY
        next(GivenUp(failure.verdict, status, failure.kind.reason))
    }

    private fun answer(
        attempt: EgressAttempt,
        response: CollectedResponse,
    ) {
        cancelAllBut(null)
        ended(Verdict.RAN, response.status, null)
        attempt.end(response.status.toOutcome(), response.headers)
        call.respond(response.status, callerHeaders(response.headers, Verdict.RAN), response.body)
    }

    private fun refused(
        attempt: EgressAttempt,
        response: CollectedResponse,
    ) {
        response.body.release()
        attempt.end(AttemptOutcome.SHED, response.headers)
        attempt.giveBackRetries()
        val retryAfterMs = response.headers.get(CallHeaders.RETRY_AFTER_MS)?.toLongOrNull()
        if (isRepeatedAtHome(retryAfterMs)) return
        next(GivenUp(Verdict.NOT_RUN, response.status, reasonOf(response.headers), response.status.code() != UNPROCESSABLE, retryAfterMs))
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
        next(GivenUp(Verdict.MAY_HAVE_RUN, response.status, reasonOf(response.headers), response.status != HttpResponseStatus.CONFLICT))
    }

    private fun attempt() {
        val now = System.nanoTime()
        if (deadline.isExpired(now)) {
            giveUp(GivenUp(Verdict.NOT_RUN, HttpResponseStatus.GATEWAY_TIMEOUT, "deadline"), null)
            return
        }
        service.refresh(environment.endpoints.targets(decision.service.name), now)
        val target = if (home == null) service.picker.pick(now, tried) else service.picker.find(home.nodeId)
        if (target == null) {
            val reason = if (home == null) "no-target" else "key-home-gone"
            giveUp(GivenUp(Verdict.NOT_RUN, HttpResponseStatus.SERVICE_UNAVAILABLE, reason), NO_TARGET_RETRY_MS)
            return
        }
        attempts++
        tried.add(target.info.id)
        service.picker.onStart(target, now)
        val attemptSpan = environment.spans.start(Hop.ATTEMPT, span.traceparent)
        send(EgressAttempt(this, target, allowance.lend(), attempts, attemptSpan), now)
    }

    private fun send(
        attempt: EgressAttempt,
        nowNanos: Long,
    ) {
        val remainingMs = deadline.remainingMs(nowNanos)
        val callId = loop.nextCallId()
        val collector = ResponseCollector(environment.settings.maxBufferedResponseBytes, callId, attempt)
        attempt.collector = collector
        running.add(attempt)
        val progressMs = service.progressLimitMs(remainingMs, idempotent)
        val head = template.head(callId, remainingMs, attempt.lentRetries, progressMs, attempt.span.traceparent)
        val pool = loop.upstreams.pool(attempt.target.info.address)
        collector.exchange = pool.send(head, call.body.retainedDuplicate(), progressMs + PROGRESS_GRACE_MS, collector)
    }

    private fun next(outcome: GivenUp) {
        if (running.isNotEmpty()) return
        val failed =
            FailedAttempt(
                verdict = outcome.verdict,
                idempotent = idempotent,
                number = attempts,
                maxAttempts = decision.route.maxAttempts,
                deadline = deadline,
                allowance = allowance,
                repeatable = outcome.repeatable && home == null,
                retryAfterMs = outcome.retryAfterMs,
            )
        when (val choice = service.retries.decide(failed, System.nanoTime())) {
            is RetryDecision.Final -> {
                if (choice.reason == GiveUpReason.BUDGET) meters.retryDenied()
                giveUp(outcome, choice.retryAfterMs)
            }
            is RetryDecision.Elsewhere -> {
                meters.retried()
                retryAfter(choice.delayMs)
            }
        }
    }

    private fun retryAfter(delayMs: Long) {
        if (delayMs == 0L) attempt() else loop.eventLoop.schedule({ if (!call.isAnswered) attempt() }, delayMs, TimeUnit.MILLISECONDS)
    }

    // A request with a key runs at its home only, so it is not sent to a second target.
    private fun scheduleHedge() {
        val mayHedge = idempotent && !call.headers.contains(CallHeaders.IDEMPOTENCY_KEY)
        val delayNanos = service.hedges.delayNanos(mayHedge, startNanos)
        if (delayNanos == null || call.isAnswered) return
        hedgeTimer = loop.eventLoop.schedule(::hedge, delayNanos, TimeUnit.NANOSECONDS)
    }

    private fun hedge() {
        if (call.isAnswered || streaming != null || running.size != 1) return
        val now = System.nanoTime()
        if (deadline.isExpired(now) || !service.hedges.tryHedge(now)) return
        meters.hedged()
        attempt()
    }

    private fun onDeadline() {
        if (call.isAnswered && streaming == null) return
        mayHaveRun = mayHaveRun || running.any { it.isSent }
        cancelAllBut(null)
        if (streaming == null) {
            giveUp(GivenUp(Verdict.NOT_RUN, HttpResponseStatus.GATEWAY_TIMEOUT, "deadline"), null)
            return
        }
        call.abort()
        ended(Verdict.MAY_HAVE_RUN, null, "deadline")
    }

    // An earlier attempt of an idempotent call may have run even if the last one did not.
    private fun giveUp(
        outcome: GivenUp,
        retryAfterMs: Long?,
    ) {
        val verdict = if (mayHaveRun) Verdict.MAY_HAVE_RUN else outcome.verdict
        ended(verdict, outcome.status, outcome.reason)
        NodeResponses.giveUp(call, outcome.status, verdict, outcome.reason, decision.version, retryAfterMs)
    }

    private fun ended(
        verdict: Verdict,
        status: HttpResponseStatus?,
        reason: String?,
    ) {
        timer?.cancel(false)
        hedgeTimer?.cancel(false)
        meters.callFinished(verdict, System.nanoTime() - startNanos)
        span.end(
            HopResult(
                route = routeName,
                version = version,
                target = tried.lastOrNull(),
                attempt = attempts,
                verdict = verdict,
                status = status?.code(),
                reason = reason,
            ),
        )
    }

    private fun cancelAllBut(kept: EgressAttempt?) {
        running.filter { it !== kept }.forEach { it.cancel() }
        running.removeAll { it !== kept }
    }

    private fun callerHeaders(
        source: HttpHeaders,
        verdict: Verdict,
    ): HttpHeaders {
        val headers = HeaderRules.endToEnd(source)
        headers.set(CallHeaders.VERDICT, verdict.headerValue)
        headers.set(CallHeaders.VERSION, decision.version.toString())
        source.get(CallHeaders.REASON)?.let { headers.set(CallHeaders.REASON, it) }
        return headers
    }

    private fun reasonOf(headers: HttpHeaders): String = headers.get(CallHeaders.REASON) ?: "refused"

    private companion object {
        const val UNPROCESSABLE = 422
        const val NO_TARGET_RETRY_MS = 1_000L
        const val MAX_HOME_RETRY_MS = 100L
        const val HOME_RETRIES = 4

        // The target's node finds a silent backend server first and can then say so.
        const val PROGRESS_GRACE_MS = 50L
    }
}
