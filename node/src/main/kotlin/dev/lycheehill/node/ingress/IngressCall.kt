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
import dev.lycheehill.node.http.InboundCall
import dev.lycheehill.node.http.InboundCallListener
import dev.lycheehill.node.http.NodeResponses
import dev.lycheehill.node.keys.StoredResponse
import dev.lycheehill.node.loop.LoopContext
import dev.lycheehill.node.metrics.KeyedAnswer
import dev.lycheehill.node.metrics.ShedReason
import dev.lycheehill.node.relay.CollectedResponse
import dev.lycheehill.node.relay.ResponseCollector
import dev.lycheehill.node.relay.ResponseCollectorListener
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
 * One call for the backend server beside this node, from admission to its response.
 *
 * Used on the event loop of the peer's connection only; the listener of the admission moves to it.
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
    private val admitted =
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

    // Most calls end without a crash and without a suspected request, so the hash is computed on demand.
    private val fingerprint by lazy(LazyThreadSafetyMode.NONE) { environment.crashes.fingerprintOf(call) }
    private val keyed = KeyedExecution.of(environment.keys, call.headers)
    private val headers = IngressHeaders(environment, call)
    private var stage = Stage.WAITING
    private var collector: ResponseCollector? = null
    private var streaming = false
    private var startNanos = 0L
    private var timer: ScheduledFuture<*>? = null

    fun start() {
        val now = System.nanoTime()
        call.listener = this
        if (deadline.isExpired(now)) {
            refuse(HttpResponseStatus.GATEWAY_TIMEOUT, "deadline", null)
            return
        }
        if (environment.crashes.needsFingerprints && environment.crashes.isQuarantined(fingerprint)) {
            environment.metrics.countShedCall(ShedReason.QUARANTINED)
            refuse(HttpResponseStatus.UNPROCESSABLE_ENTITY, "quarantined", null)
            return
        }
        when (val result = environment.admission.offer(admitted, now)) {
            is AdmissionResult.Admitted -> run(now)
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
                ended(verdict)
                endSpan(verdict, null, "caller-gone")
            }
            Stage.DONE -> Unit
        }
    }

    override fun onWritable() {
        if (streaming) collector?.resume()
    }

    override fun onComplete(response: CollectedResponse) {
        if (response.answer == BackendResponseKind.NOT_RUN) {
            refusedByBackend(response)
            return
        }
        val answerHeaders = headers.toPeer(response.headers, ended(Verdict.RAN, response))
        endSpan(Verdict.RAN, response.status, null)
        if (environment.crashes.needsFingerprints) environment.crashes.succeeded(fingerprint)
        call.respond(response.status, answerHeaders, response.body)
    }

    private fun refusedByBackend(response: CollectedResponse) {
        response.body.release()
        ended(Verdict.NOT_RUN)
        environment.metrics.countShedCall(ShedReason.BACKEND)
        refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "backend-refused", RETRY_MS) { it.set(CallHeaders.ARRIVED, "1") }
    }

    override fun onTooLarge(collector: ResponseCollector) {
        streaming = true
        collector.streamTo(call, headers.toPeer(collector.head.headers(), unusedRetries = 0))
    }

    override fun onStreamComplete() {
        ended(Verdict.RAN)
        endSpan(Verdict.RAN, collector?.head?.status(), null)
    }

    override fun onFailure(failure: ExchangeFailure) {
        val unused = ended(failure.verdict)
        endSpan(failure.verdict, null, failure.kind.reason)
        if (failure.kind == ExchangeFailure.Kind.CONNECT) environment.target.onUnreachable()
        val mayHaveCrashed = failure.verdict == Verdict.MAY_HAVE_RUN && failure.kind in closedKinds
        if (mayHaveCrashed) reportCrashIfDown { answer(failure, unused) } else answer(failure, unused)
    }

    private fun answer(
        failure: ExchangeFailure,
        unusedRetries: Int,
    ) {
        if (streaming) {
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

    // The caller of a queued call may have gone while the start was on its way to this event loop.
    private fun startQueued() {
        when (stage) {
            Stage.WAITING -> run(System.nanoTime())
            else -> environment.admission.onFinish(admitted, System.nanoTime(), succeeded = false)
        }
    }

    private fun cancelWaiting() {
        stage = Stage.DONE
        environment.admission.cancel(admitted, System.nanoTime())
    }

    private fun run(nowNanos: Long) {
        val registration = environment.target.registration()
        val refusal = environment.target.refusal()
        if (registration == null || refusal != null || deadline.isExpired(nowNanos)) {
            environment.admission.onFinish(admitted, nowNanos, succeeded = false)
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, refusal ?: "deadline", RETRY_MS)
            return
        }
        when (val decision = keyed?.begin()) {
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
        environment.metrics.recordQueueTime(Priority.entries[admitted.priority.ordinal], nowNanos - arrivedNanos)
        environment.target.onCallStarted()
        requestId?.let(environment.running::started)
        if (treeId != null) environment.allowances.start(treeId, RetryAllowance.received(call.headers.get(CallHeaders.RETRIES_LEFT)))
        send(address, nowNanos)
    }

    private fun send(
        address: String,
        nowNanos: Long,
    ) {
        val remainingMs = deadline.remainingMs(nowNanos)
        timer = loop.eventLoop.schedule(::onDeadline, remainingMs + environment.settings.deadlineGraceMs, TimeUnit.MILLISECONDS)
        val limitMs = remainingMs + environment.settings.deadlineGraceMs
        val progressMs = minOf(limitMs, call.headers.get(CallHeaders.PROGRESS_MS)?.toLongOrNull() ?: limitMs)
        val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, call.method, call.uri, headers.addBackendHeaders(remainingMs, span.traceparent))
        val next =
            ResponseCollector(
                maxBytes = environment.settings.maxBufferedResponseBytes,
                judge = { environment.dialect.classifyResponse(it, requestId) },
                listener = this,
            )
        collector = next
        next.exchange = loop.upstreams.pool(address).send(head, call.body.retainedDuplicate(), progressMs, next)
    }

    private fun onDeadline() {
        if (stage != Stage.RUNNING) return
        val verdict = cancel()
        ended(verdict)
        if (streaming) {
            call.abort()
            return
        }
        endSpan(verdict, HttpResponseStatus.GATEWAY_TIMEOUT, "deadline")
        NodeResponses.sendFailure(call, HttpResponseStatus.GATEWAY_TIMEOUT, verdict, "deadline")
    }

    // A backend server that closed one connection may be well. It died when it accepts no new one either. The answer
    // waits for the evidence, so that a caller that sends the request again finds it refused.
    private fun reportCrashIfDown(then: () -> Unit) {
        val address = environment.target.registration()?.address ?: return then()
        // Computed before the probe, because the body is released when the caller goes.
        val crashed = fingerprint
        loop.upstreams.probe(address) { accepts ->
            if (!accepts) environment.crashes.crashed(crashed)
            then()
        }
    }

    /** Cancels the exchange with the backend server and returns whether the call may have run. */
    private fun cancel(): Verdict {
        val sent = collector?.exchange?.isSent == true
        collector?.cancel()
        return if (sent) Verdict.MAY_HAVE_RUN else Verdict.NOT_RUN
    }

    /** Ends the run and returns the retries that its child calls have left. */
    private fun ended(
        verdict: Verdict,
        response: CollectedResponse? = null,
    ): Int {
        if (stage != Stage.RUNNING) return 0
        stage = Stage.DONE
        timer?.cancel(false)
        requestId?.let(environment.running::ended)
        val served = verdict == Verdict.RAN && response?.status?.codeClass() != HttpStatusClass.SERVER_ERROR
        environment.target.onCallEnded(System.nanoTime() - startNanos, served)
        environment.admission.onFinish(admitted, System.nanoTime(), succeeded = verdict == Verdict.RAN)
        keyed?.finish(verdict, response)
        return treeId?.let(environment.allowances::finish) ?: 0
    }

    private fun replay(
        answer: StoredResponse,
        nowNanos: Long,
    ) {
        stage = Stage.DONE
        environment.metrics.countKeyedCall(KeyedAnswer.STORED)
        environment.admission.onFinish(admitted, nowNanos, succeeded = false)
        val status = HttpResponseStatus.valueOf(answer.status)
        endSpan(Verdict.RAN, status, KeyRefusal.REPEATED.headerValue)
        call.respond(status, headers.ofStored(answer), Unpooled.wrappedBuffer(answer.body))
    }

    private fun refuse(
        refusal: KeyDecision.Refuse,
        nowNanos: Long,
    ) {
        stage = Stage.DONE
        environment.metrics.countKeyedCall(KeyedAnswer.of(refusal.verdict))
        environment.admission.onFinish(admitted, nowNanos, succeeded = false)
        val status = if (refusal.verdict == Verdict.NOT_RUN) HttpResponseStatus.SERVICE_UNAVAILABLE else HttpResponseStatus.CONFLICT
        val reason = refusal.reason.headerValue
        endSpan(refusal.verdict, status, reason)
        NodeResponses.sendFailure(call, status, refusal.verdict, reason, retryAfterMs = refusal.retryAfterMs, extra = headers::setLoad)
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
                route = admitted.route,
                version = call.headers.get(CallHeaders.VERSION)?.toLongOrNull() ?: 0,
                verdict = verdict,
                queueNanos = if (startNanos == 0L) 0 else startNanos - arrivedNanos,
                status = status?.code(),
                reason = reason,
            )
        span.end(result)
        if (result.failed) logEnd(result)
    }

    private fun logEnd(result: HopResult) {
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
        endSpan(Verdict.NOT_RUN, status, reason)
        NodeResponses.sendFailure(call, status, Verdict.NOT_RUN, reason, retryAfterMs = retryAfterMs) {
            headers.setLoad(it)
            extra(it)
        }
    }

    private inline fun <reified T : Enum<T>> enumHeader(
        name: CharSequence,
        default: T,
    ): T = call.headers.get(name)?.let { value -> enumValues<T>().firstOrNull { it.name == value } } ?: default

    private enum class Stage { WAITING, RUNNING, DONE }

    private companion object {
        // The longest time limit that a configuration may set.
        const val DEFAULT_TIMEOUT_MS = 600_000L
        val closedKinds = setOf(ExchangeFailure.Kind.CLOSED, ExchangeFailure.Kind.TRUNCATED)
        const val RETRY_MS = 100L
    }
}
