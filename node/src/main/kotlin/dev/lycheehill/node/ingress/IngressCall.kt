package dev.lycheehill.node.ingress

import dev.lycheehill.calls.admission.AdmissionCall
import dev.lycheehill.calls.admission.AdmissionListener
import dev.lycheehill.calls.admission.AdmissionResult
import dev.lycheehill.calls.admission.CallCost
import dev.lycheehill.calls.admission.CallPriority
import dev.lycheehill.calls.admission.RejectReason
import dev.lycheehill.calls.verdict.Deadline
import dev.lycheehill.calls.verdict.RetryAllowance
import dev.lycheehill.config.model.Priority
import dev.lycheehill.core.Verdict
import dev.lycheehill.node.egress.LoadHeader
import dev.lycheehill.node.egress.TraceIds
import dev.lycheehill.node.http.CallHeaders
import dev.lycheehill.node.http.HeaderRules
import dev.lycheehill.node.http.InboundCall
import dev.lycheehill.node.http.InboundCallListener
import dev.lycheehill.node.http.NodeResponses
import dev.lycheehill.node.loop.LoopContext
import dev.lycheehill.node.metrics.ShedReason
import dev.lycheehill.node.relay.CollectedResponse
import dev.lycheehill.node.relay.CollectorListener
import dev.lycheehill.node.relay.ResponseCollector
import dev.lycheehill.node.tracing.Hop
import dev.lycheehill.node.tracing.HopResult
import dev.lycheehill.node.upstream.ExchangeFailure
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponseStatus
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
    CollectorListener,
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
        )
    private val treeId = TraceIds.treeOf(call.headers)
    private val span = environment.spans.start(Hop.INGRESS, call.headers.get(CallHeaders.TRACEPARENT))
    private val arrivedNanos = System.nanoTime()
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
        when (val result = environment.admission.offer(admitted, now)) {
            is AdmissionResult.Admitted -> run(now)
            is AdmissionResult.Rejected -> refuse(result)
            is AdmissionResult.Queued -> Unit
        }
    }

    override fun onStart(
        call: AdmissionCall,
        nowNanos: Long,
    ) = loop.onLoop { startQueued() }

    override fun onDropped(
        call: AdmissionCall,
        rejection: AdmissionResult.Rejected,
    ) = loop.onLoop { if (stage == Stage.WAITING) refuse(rejection) }

    override fun onCallerGone() {
        when (stage) {
            Stage.WAITING -> cancelWaiting()
            Stage.RUNNING -> {
                collector?.cancel()
                ended(succeeded = false)
                endSpan(Verdict.MAY_HAVE_RUN, null, "caller-gone")
            }
            Stage.DONE -> Unit
        }
    }

    override fun onWritable() {
        if (streaming) collector?.resume()
    }

    override fun onWhole(response: CollectedResponse) {
        val headers = peerHeaders(response.headers, ended(succeeded = true))
        endSpan(Verdict.RAN, response.status, null)
        call.respond(response.status, headers, response.body)
    }

    override fun onTooLong(collector: ResponseCollector) {
        streaming = true
        collector.streamTo(call, peerHeaders(collector.head.headers(), unusedRetries = 0))
    }

    override fun onStreamed() {
        ended(succeeded = true)
        endSpan(Verdict.RAN, collector?.head?.status(), null)
    }

    override fun onFailure(failure: ExchangeFailure) {
        val unused = ended(succeeded = false)
        endSpan(failure.verdict, null, failure.kind.reason)
        if (streaming) {
            call.abort()
            return
        }
        val status = if (failure.kind == ExchangeFailure.Kind.SILENT) HttpResponseStatus.GATEWAY_TIMEOUT else HttpResponseStatus.BAD_GATEWAY
        NodeResponses.giveUp(
            call,
            status,
            failure.verdict,
            "backend-${failure.kind.reason}",
            extra = { it.set(CallHeaders.RETRIES_LEFT, unused) },
        )
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
        stage = Stage.RUNNING
        startNanos = nowNanos
        environment.metrics.queued(Priority.entries[admitted.priority.ordinal], nowNanos - arrivedNanos)
        environment.target.callStarted()
        if (treeId != null) environment.allowances.start(treeId, RetryAllowance.received(call.headers.get(CallHeaders.RETRIES_LEFT)))
        send(registration.address, nowNanos)
    }

    private fun send(
        address: String,
        nowNanos: Long,
    ) {
        val remainingMs = deadline.remainingMs(nowNanos)
        timer = loop.eventLoop.schedule(::onDeadline, deadline.remainingNanos(nowNanos), TimeUnit.NANOSECONDS)
        val progressMs = minOf(remainingMs, call.headers.get(CallHeaders.PROGRESS_MS)?.toLongOrNull() ?: remainingMs)
        val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, call.method, call.uri, backendHeaders(remainingMs))
        val next = ResponseCollector(environment.settings.maxBufferedResponseBytes, expectedCallId = null, listener = this)
        collector = next
        next.exchange = loop.upstreams.pool(address).send(head, call.body.retainedDuplicate(), progressMs, next)
    }

    private fun onDeadline() {
        if (stage != Stage.RUNNING) return
        val sent = collector?.exchange?.isSent == true
        collector?.cancel()
        ended(succeeded = false)
        if (streaming) {
            call.abort()
            return
        }
        val verdict = if (sent) Verdict.MAY_HAVE_RUN else Verdict.NOT_RUN
        endSpan(verdict, HttpResponseStatus.GATEWAY_TIMEOUT, "deadline")
        NodeResponses.giveUp(call, HttpResponseStatus.GATEWAY_TIMEOUT, verdict, "deadline")
    }

    /** Ends the run and returns the retries that its child calls have left. */
    private fun ended(succeeded: Boolean): Int {
        if (stage != Stage.RUNNING) return 0
        stage = Stage.DONE
        timer?.cancel(false)
        environment.target.callEnded(System.nanoTime() - startNanos)
        environment.admission.onFinish(admitted, System.nanoTime(), succeeded)
        return treeId?.let(environment.allowances::finish) ?: 0
    }

    private fun refuse(rejection: AdmissionResult.Rejected) {
        environment.metrics.shed(shedReasonOf(rejection.reason))
        refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, rejection.reason.headerValue, rejection.retryAfterMs)
    }

    private fun shedReasonOf(reason: RejectReason): ShedReason =
        when (reason) {
            RejectReason.QUEUE_FULL -> ShedReason.QUEUE_FULL
            RejectReason.QUEUE_TIME -> ShedReason.QUEUE_AGE
            RejectReason.DEADLINE -> ShedReason.DEADLINE
            RejectReason.DRAINING -> ShedReason.DRAINING
        }

    private fun endSpan(
        verdict: Verdict,
        status: HttpResponseStatus?,
        reason: String?,
    ) {
        span.end(
            HopResult(
                route = admitted.route,
                version = call.headers.get(CallHeaders.VERSION)?.toLongOrNull() ?: 0,
                verdict = verdict,
                queueNanos = if (startNanos == 0L) 0 else startNanos - arrivedNanos,
                status = status?.code(),
                reason = reason,
            ),
        )
    }

    private fun refuse(
        status: HttpResponseStatus,
        reason: String,
        retryAfterMs: Long?,
    ) {
        stage = Stage.DONE
        endSpan(Verdict.NOT_RUN, status, reason)
        NodeResponses.giveUp(call, status, Verdict.NOT_RUN, reason, retryAfterMs = retryAfterMs, extra = ::setLoad)
    }

    private fun backendHeaders(remainingMs: Long): HttpHeaders {
        val headers = HeaderRules.endToEnd(call.headers)
        HeaderRules.setLength(headers, call)
        headers.set(CallHeaders.DEADLINE_MS, remainingMs.toString())
        if (span.traceparent.isNotEmpty()) headers.set(CallHeaders.TRACEPARENT, span.traceparent)
        call.headers.get(CallHeaders.RETRIES_LEFT)?.let { headers.set(CallHeaders.RETRIES_LEFT, it) }
        return headers
    }

    private fun peerHeaders(
        source: HttpHeaders,
        unusedRetries: Int,
    ): HttpHeaders {
        val headers = HeaderRules.endToEnd(source)
        headers.set(CallHeaders.VERDICT, Verdict.RAN.headerValue)
        headers.set(CallHeaders.RETRIES_LEFT, unusedRetries.toString())
        call.headers.get(CallHeaders.CALL_ID)?.let { headers.set(CallHeaders.CALL_ID, it) }
        setLoad(headers)
        return headers
    }

    private fun setLoad(headers: HttpHeaders) {
        headers.set(CallHeaders.LOAD, LoadHeader.format(environment.admission.inFlight, environment.target.meanLatencyNanos))
    }

    private inline fun <reified T : Enum<T>> enumHeader(
        name: CharSequence,
        default: T,
    ): T = call.headers.get(name)?.let { value -> enumValues<T>().firstOrNull { it.name == value } } ?: default

    private enum class Stage { WAITING, RUNNING, DONE }

    private companion object {
        // The longest time limit that a configuration may set.
        const val DEFAULT_TIMEOUT_MS = 600_000L
        const val RETRY_MS = 100L
    }
}
