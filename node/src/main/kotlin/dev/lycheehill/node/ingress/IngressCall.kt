package dev.lycheehill.node.ingress

import dev.lycheehill.calls.admission.AdmissionCall
import dev.lycheehill.calls.admission.AdmissionListener
import dev.lycheehill.calls.admission.AdmissionResult
import dev.lycheehill.calls.admission.CallCost
import dev.lycheehill.calls.admission.CallPriority
import dev.lycheehill.calls.keys.KeyDecision
import dev.lycheehill.calls.keys.KeyRefusal
import dev.lycheehill.calls.verdict.Deadline
import dev.lycheehill.calls.verdict.RetryAllowance
import dev.lycheehill.config.model.Priority
import dev.lycheehill.core.Verdict
import dev.lycheehill.core.time.NANOS_PER_MILLI
import dev.lycheehill.node.dialect.BackendResponseKind
import dev.lycheehill.node.egress.TraceIds
import dev.lycheehill.node.http.CallHeaders
import dev.lycheehill.node.http.CallProgress
import dev.lycheehill.node.http.InboundCall
import dev.lycheehill.node.http.InboundCallListener
import dev.lycheehill.node.http.NodeResponses
import dev.lycheehill.node.http.respondAfter
import dev.lycheehill.node.keys.StoredResponse
import dev.lycheehill.node.loop.LoopContext
import dev.lycheehill.node.metrics.KeyedAnswer
import dev.lycheehill.node.metrics.ShedReason
import dev.lycheehill.node.relay.CollectedResponse
import dev.lycheehill.node.relay.ResponseCollector
import dev.lycheehill.node.relay.ResponseCollectorListener
import dev.lycheehill.node.target.BackendProcess
import dev.lycheehill.node.tracing.Hop
import dev.lycheehill.node.tracing.HopResult
import dev.lycheehill.node.upstream.ExchangeFailure
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit

/**
 * One call to the backend server of this node, from admission to the response.
 *
 * Confined to the event loop of the peer's connection. Callbacks of the admission control may arrive on other threads and are
 * dispatched to this event loop.
 */
internal class IngressCall(
    private val environment: IngressEnvironment,
    private val loop: LoopContext,
    private val call: InboundCall,
) : InboundCallListener,
    ResponseCollectorListener,
    AdmissionListener {
    private val deadline =
        Deadline.received(call.headers.get(CallHeaders.DEADLINE_MS), DEFAULT_TIMEOUT_MS, System.nanoTime())
    private val admissionCall =
        AdmissionCall(
            route = call.headers.get(CallHeaders.ROUTE).orEmpty(),
            priority = enumHeader(CallHeaders.PRIORITY, CallPriority.NORMAL),
            cost = enumHeader(CallHeaders.COST, CallCost.LEARNED),
            sizeBytes = call.body.readableBytes(),
            deadline = deadline,
            listener = this,
            aim = Deadline.received(call.headers.get(CallHeaders.AIM_MS), DEFAULT_TIMEOUT_MS, System.nanoTime()),
            acceptsLate = call.headers.get(CallHeaders.AIM_MS) == null || call.headers.contains(CallHeaders.ACCEPTS_LATE),
            isChild = call.headers.contains(CallHeaders.CHILD),
        )
    private val requestId = environment.dialect.requestId(call.headers)
    private val treeId = TraceIds.traceIdOf(call.headers)
    private val span = environment.spans.start(Hop.INGRESS, call.headers.get(CallHeaders.TRACEPARENT))
    private val arrivedNanos = System.nanoTime()

    // Computed on demand, because only a crash or a suspected crash request needs the hash.
    private val fingerprint by lazy(LazyThreadSafetyMode.NONE) { environment.crashReporter.fingerprintOf(call) }
    private val keyedExecution = KeyedExecution.of(environment.keys, call.headers)
    private val headers = IngressHeaders(environment, call)
    private var stage = Stage.WAITING
    private var collector: ResponseCollector? = null
    private var isStreaming = false
    private var startNanos = 0L

    // The process of the backend server to which the request is sent.
    private var process: BackendProcess? = null
    private var deadlineTimer: ScheduledFuture<*>? = null

    fun start() {
        val now = System.nanoTime()
        call.listener = this
        if (deadline.isExpired(now)) {
            refuse(HttpResponseStatus.GATEWAY_TIMEOUT, "deadline", null)
            return
        }
        if (environment.crashReporter.needsFingerprints && environment.crashReporter.isQuarantined(fingerprint)) {
            environment.metrics.countShedCall(ShedReason.QUARANTINED)
            refuse(HttpResponseStatus.UNPROCESSABLE_ENTITY, "quarantined", null)
            return
        }
        when (val result = environment.admission.offer(admissionCall, now)) {
            is AdmissionResult.Admitted -> startAdmitted(now)
            is AdmissionResult.Rejected -> refuse(result)
            is AdmissionResult.Queued -> environment.admissionTicker.onQueued()
        }
    }

    override fun onStart(
        call: AdmissionCall,
        nowNanos: Long,
    ) = loop.runOnEventLoop { startQueued() }

    override fun onDropped(
        call: AdmissionCall,
        rejection: AdmissionResult.Rejected,
    ) = loop.runOnEventLoop { if (stage == Stage.WAITING) refuse(rejection) }

    override fun onCallerDisconnected() {
        when (stage) {
            Stage.WAITING -> cancelWaiting()
            Stage.RUNNING -> {
                val verdict = cancel()
                finishExecution(verdict)
                endSpan(verdict, null, "caller-gone")
            }
            Stage.DONE -> Unit
        }
    }

    override fun progress() =
        CallProgress(
            isPassedOn = collector?.exchange?.isSent == true,
            targetIds = listOfNotNull(environment.target.registration()?.instanceId),
            leftMs = deadline.remainingMs(System.nanoTime()),
        )

    override fun onWritable() {
        if (isStreaming) collector?.resume()
    }

    override fun onComplete(response: CollectedResponse) {
        recordStatement(response.headers, hasRun = response.kind == BackendResponseKind.RAN)
        if (response.kind == BackendResponseKind.NOT_RUN) {
            handleBackendRefusal(response)
            return
        }
        val responseHeaders = headers.peerResponseHeaders(response.headers, finishExecution(Verdict.RAN, response))
        respondAfter({
            endSpan(Verdict.RAN, response.status, null)
            if (environment.crashReporter.needsFingerprints) environment.crashReporter.succeeded(fingerprint)
        }) { call.respond(response.status, responseHeaders, response.body) }
    }

    private fun recordStatement(
        response: HttpHeaders,
        hasRun: Boolean,
    ) {
        val sender = process ?: return
        environment.dialect.statementOf(response, requestId)?.let { environment.statements.onResponse(sender, it, hasRun, startNanos) }
    }

    private fun handleBackendRefusal(response: CollectedResponse) {
        response.body.release()
        finishExecution(Verdict.NOT_RUN)
        environment.metrics.countShedCall(ShedReason.BACKEND)
        refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "backend-refused", REFUSAL_RETRY_AFTER_MS) { it.set(CallHeaders.ARRIVED, "1") }
    }

    override fun onTooLarge(collector: ResponseCollector) {
        recordStatement(collector.head.headers(), hasRun = true)
        isStreaming = true
        collector.streamTo(call, headers.peerResponseHeaders(collector.head.headers(), unusedRetries = 0))
    }

    override fun onStreamComplete() {
        finishExecution(Verdict.RAN)
        endSpan(Verdict.RAN, collector?.head?.status(), null)
    }

    override fun onFailure(failure: ExchangeFailure) {
        val unused = finishExecution(failure.verdict)
        endSpan(failure.verdict, null, failure.kind.reason)
        if (failure.kind == ExchangeFailure.Kind.CONNECT) environment.target.onUnreachable()
        val mayHaveCrashed = failure.verdict == Verdict.MAY_HAVE_RUN && failure.kind in closedConnectionKinds
        if (mayHaveCrashed) reportCrashIfDown { respondToFailure(failure, unused) } else respondToFailure(failure, unused)
    }

    private fun respondToFailure(
        failure: ExchangeFailure,
        unusedRetries: Int,
    ) {
        if (isStreaming) {
            call.abort()
            return
        }
        val status = if (failure.kind == ExchangeFailure.Kind.SILENT) HttpResponseStatus.GATEWAY_TIMEOUT else HttpResponseStatus.BAD_GATEWAY
        val reason = "backend-${failure.kind.reason}"
        NodeResponses.sendFailure(call, status, failure.verdict, reason) {
            it.set(CallHeaders.RETRIES_LEFT, unusedRetries)
            if (failure.kind == ExchangeFailure.Kind.CONNECT) it.set(CallHeaders.UNAVAILABLE, "1")
        }
    }

    // The caller of a queued call may disconnect before the start of the call is dispatched to this event loop. The slot is then freed.
    private fun startQueued() {
        when (stage) {
            Stage.WAITING -> startAdmitted(System.nanoTime())
            else -> environment.admission.onFinish(admissionCall, System.nanoTime(), succeeded = false)
        }
    }

    private fun cancelWaiting() {
        stage = Stage.DONE
        environment.admission.cancel(admissionCall, System.nanoTime())
    }

    private fun startAdmitted(nowNanos: Long) {
        val registration = environment.target.registration()
        val refusal = environment.target.refusal()
        if (registration == null || refusal != null || deadline.isExpired(nowNanos)) {
            environment.admission.onFinish(admissionCall, nowNanos, succeeded = false)
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, refusal ?: "deadline", REFUSAL_RETRY_AFTER_MS)
            return
        }
        when (val decision = keyedExecution?.begin()) {
            null, is KeyDecision.Execute -> {
                if (decision != null) environment.metrics.countKeyedCall(KeyedAnswer.EXECUTED)
                execute(registration.address, nowNanos)
            }
            is KeyDecision.Replay -> replay(StoredResponse.decode(decision.response), nowNanos)
            is KeyDecision.Refuse -> refuse(decision, nowNanos)
        }
    }

    private fun execute(
        address: String,
        nowNanos: Long,
    ) {
        stage = Stage.RUNNING
        startNanos = nowNanos
        process = environment.statements.currentProcess()
        environment.metrics.recordQueueTime(Priority.entries[admissionCall.priority.ordinal], nowNanos - arrivedNanos)
        environment.target.onCallStarted()
        requestId?.let(environment.runningRequests::started)
        if (treeId != null) environment.allowances.start(treeId, RetryAllowance.received(call.headers.get(CallHeaders.RETRIES_LEFT)))
        send(address, nowNanos)
    }

    private fun send(
        address: String,
        nowNanos: Long,
    ) {
        val remainingMs = deadline.remainingMs(nowNanos)
        deadlineTimer = loop.eventLoop.schedule(::onDeadline, remainingMs + environment.settings.deadlineGraceMs, TimeUnit.MILLISECONDS)
        val limitMs = remainingMs + environment.settings.deadlineGraceMs
        val progressMs = minOf(limitMs, call.headers.get(CallHeaders.PROGRESS_MS)?.toLongOrNull() ?: limitMs)
        val head =
            DefaultHttpRequest(HttpVersion.HTTP_1_1, call.method, call.uri, headers.backendRequestHeaders(remainingMs, span.traceparent))
        val newCollector =
            ResponseCollector(
                maxBytes = environment.settings.maxBufferedResponseBytes,
                kindOf = { environment.dialect.classifyResponse(it, requestId) },
                listener = this,
            )
        collector = newCollector
        environment.metrics.countBackendRequest()
        newCollector.exchange = loop.upstreams.pool(address).send(head, call.body.retainedDuplicate(), progressMs, newCollector)
    }

    private fun onDeadline() {
        if (stage != Stage.RUNNING) return
        val verdict = cancel()
        finishExecution(verdict)
        if (isStreaming) {
            call.abort()
            return
        }
        respondAfter({ endSpan(verdict, HttpResponseStatus.GATEWAY_TIMEOUT, "deadline") }) {
            NodeResponses.sendFailure(call, HttpResponseStatus.GATEWAY_TIMEOUT, verdict, "deadline")
        }
    }

    // A closed connection alone does not prove a crash: the backend server has crashed only if it accepts no new connection either.
    // The response waits for the probe, so that the quarantine already counts this crash when the caller retries the request.
    private fun reportCrashIfDown(onReported: () -> Unit) {
        val address = environment.target.registration()?.address ?: return onReported()
        // Computed before the probe, because the body is released when the caller disconnects.
        val crashFingerprint = fingerprint
        loop.upstreams.probe(address) { accepts ->
            if (!accepts) environment.crashReporter.crashed(crashFingerprint)
            onReported()
        }
    }

    /** Cancels the exchange with the backend server and returns the verdict of the call. */
    private fun cancel(): Verdict {
        val sent = collector?.exchange?.isSent == true
        collector?.cancel()
        return if (sent) Verdict.MAY_HAVE_RUN else Verdict.NOT_RUN
    }

    /** Ends the execution of the call. Returns the retries that its child calls left unused. */
    private fun finishExecution(
        verdict: Verdict,
        response: CollectedResponse? = null,
    ): Int {
        if (stage != Stage.RUNNING) return 0
        stage = Stage.DONE
        deadlineTimer?.cancel(false)
        requestId?.let(environment.runningRequests::ended)
        val served = verdict == Verdict.RAN && response?.status?.codeClass() != HttpStatusClass.SERVER_ERROR
        environment.target.onCallEnded(System.nanoTime() - startNanos, served)
        environment.admission.onFinish(admissionCall, System.nanoTime(), succeeded = verdict == Verdict.RAN)
        keyedExecution?.finish(verdict, response)
        return treeId?.let(environment.allowances::finish) ?: 0
    }

    private fun replay(
        stored: StoredResponse,
        nowNanos: Long,
    ) {
        stage = Stage.DONE
        environment.metrics.countKeyedCall(KeyedAnswer.STORED)
        environment.admission.onFinish(admissionCall, nowNanos, succeeded = false)
        val status = HttpResponseStatus.valueOf(stored.status)
        respondAfter({ endSpan(Verdict.RAN, status, KeyRefusal.REPEATED.headerValue) }) {
            call.respond(status, headers.storedResponseHeaders(stored), Unpooled.wrappedBuffer(stored.body))
        }
    }

    private fun refuse(
        refusal: KeyDecision.Refuse,
        nowNanos: Long,
    ) {
        stage = Stage.DONE
        environment.metrics.countKeyedCall(KeyedAnswer.of(refusal.verdict))
        environment.admission.onFinish(admissionCall, nowNanos, succeeded = false)
        val status = if (refusal.verdict == Verdict.NOT_RUN) HttpResponseStatus.SERVICE_UNAVAILABLE else HttpResponseStatus.CONFLICT
        val reason = refusal.reason.headerValue
        respondAfter({ endSpan(refusal.verdict, status, reason) }) {
            NodeResponses.sendFailure(call, status, refusal.verdict, reason, retryAfterMs = refusal.retryAfterMs, extra = headers::setLoad)
        }
    }

    private fun refuse(rejection: AdmissionResult.Rejected) {
        environment.metrics.countShedCall(rejection.reason.toShedReason())
        refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, rejection.reason.headerValue, rejection.retryAfterMs)
    }

    private fun endSpan(
        verdict: Verdict,
        status: HttpResponseStatus?,
        reason: String?,
    ) {
        val result =
            HopResult(
                route = admissionCall.route,
                version = call.headers.get(CallHeaders.VERSION)?.toLongOrNull() ?: 0,
                verdict = verdict,
                queueNanos = if (startNanos == 0L) 0 else startNanos - arrivedNanos,
                status = status?.code(),
                reason = reason,
            )
        span.end(result)
        if (result.failed) logFailure(result)
    }

    private fun logFailure(result: HopResult) {
        val now = System.nanoTime()
        environment.decisions.write(
            "target-call-ended",
            "request" to requestId,
            *result.describe(),
            "in_flight" to environment.admission.inFlight,
            "queued" to environment.admission.queued,
            "queue_ms" to result.queueNanos / NANOS_PER_MILLI,
            "elapsed_ms" to (now - arrivedNanos) / NANOS_PER_MILLI,
            "left_ms" to deadline.remainingMs(now),
            "instance" to environment.target.registration()?.instanceId,
        )
    }

    private fun refuse(
        status: HttpResponseStatus,
        reason: String,
        retryAfterMs: Long?,
        extra: (HttpHeaders) -> Unit = {},
    ) {
        stage = Stage.DONE
        respondAfter({ endSpan(Verdict.NOT_RUN, status, reason) }) {
            NodeResponses.sendFailure(call, status, Verdict.NOT_RUN, reason, retryAfterMs = retryAfterMs) {
                headers.setLoad(it)
                extra(it)
            }
        }
    }

    private inline fun <reified T : Enum<T>> enumHeader(
        name: CharSequence,
        default: T,
    ): T = call.headers.get(name)?.let { value -> enumValues<T>().firstOrNull { it.name == value } } ?: default

    private enum class Stage { WAITING, RUNNING, DONE }

    private companion object {
        // Applies to requests that state no time limit. Equals the maximum that a configuration may set.
        const val DEFAULT_TIMEOUT_MS = 600_000L
        val closedConnectionKinds = setOf(ExchangeFailure.Kind.CLOSED, ExchangeFailure.Kind.TRUNCATED)
        const val REFUSAL_RETRY_AFTER_MS = 100L
    }
}
