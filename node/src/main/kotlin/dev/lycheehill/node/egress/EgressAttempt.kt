package dev.lycheehill.node.egress

import dev.lycheehill.calls.balancing.AttemptOutcome
import dev.lycheehill.calls.balancing.LoadReport
import dev.lycheehill.calls.balancing.TargetHandle
import dev.lycheehill.core.Verdict
import dev.lycheehill.node.DataPathSettings
import dev.lycheehill.node.dialect.BackendResponseKind
import dev.lycheehill.node.http.CallHeaders
import dev.lycheehill.node.loop.LoopContext
import dev.lycheehill.node.relay.CollectedResponse
import dev.lycheehill.node.relay.ResponseCollector
import dev.lycheehill.node.relay.ResponseCollectorListener
import dev.lycheehill.node.tracing.HopResult
import dev.lycheehill.node.tracing.HopSpan
import dev.lycheehill.node.upstream.ExchangeFailure
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest

/**
 * One attempt of an [EgressCall] at one target. Reports the end of the attempt to the picker of the service.
 *
 * @property lentRetries retries that the call tree lends to the target for its child calls.
 * @property number number of the attempt within its call, from 1.
 */
internal class EgressAttempt(
    private val call: EgressCall,
    val target: TargetHandle,
    val lentRetries: Int,
    val number: Int,
    val span: HopSpan,
) : ResponseCollectorListener {
    lateinit var collector: ResponseCollector

    private val startNanos = System.nanoTime()
    private var hasEnded = false

    val isSent: Boolean get() = collector.exchange.isSent

    override fun onComplete(response: CollectedResponse) = call.onComplete(this, response)

    override fun onTooLarge(collector: ResponseCollector) = call.onTooLarge(this)

    override fun onFailure(failure: ExchangeFailure) = call.onFailure(this, failure)

    override fun onStreamComplete() = call.onStreamComplete(this)

    /**
     * Sends the attempt to its target.
     *
     * @param progressMs longest time without a byte of the response, in milliseconds.
     * @param newHead makes the head of the request from the call id and the progress limit in milliseconds that the target's
     *   node gets; the limit is null if silent calls are not ended.
     */
    fun send(
        loop: LoopContext,
        settings: DataPathSettings,
        progressMs: Long,
        body: ByteBuf,
        newHead: (String, Long?) -> HttpRequest,
    ) {
        val callId = loop.nextCallId()
        collector =
            ResponseCollector(
                maxBytes = settings.maxBufferedResponseBytes,
                kindOf = { if (it.headers().get(CallHeaders.CALL_ID) == callId) BackendResponseKind.RAN else BackendResponseKind.INVALID },
                listener = this,
            )
        val request = newHead(callId, progressMs.takeIf { settings.endsSilentCalls })
        val pool = loop.upstreams.pool(target.info.address)
        collector.exchange = pool.send(request, body.retainedDuplicate(), progressMs + PROGRESS_GRACE_MS, collector)
    }

    /** Cancels the attempt because its response is no longer needed. */
    fun cancel() {
        collector.cancel()
        end(AttemptOutcome.CANCELLED, null)
    }

    /**
     * Reports the end of the attempt to the picker, the hedge policy, the span and the retry allowance. Does nothing if the end
     * is reported already.
     *
     * @param headers headers of the response; null if there is no response.
     */
    fun end(
        outcome: AttemptOutcome,
        headers: HttpHeaders?,
    ) {
        if (hasEnded) return
        hasEnded = true
        val now = System.nanoTime()
        call.service.picker.onFinish(target, now, now - startNanos, outcome, headers?.let(::parseLoad))
        if (outcome == AttemptOutcome.SUCCESS) call.service.hedgePolicy.onLatency(now - startNanos, now)
        if (outcome == AttemptOutcome.SHED) call.service.hedgePolicy.onShed(now)
        headers?.let { recordStatements(it, now) }
        span.end(hopResult(outcome, headers))
        val unused = headers?.get(CallHeaders.RETRIES_LEFT)?.toIntOrNull() ?: if (headers == null) 0 else lentRetries
        call.allowance.giveBack(minOf(unused, lentRetries))
    }

    /** Gives the lent retries of an attempt that did not run back to the call tree. */
    fun giveBackRetries() = call.allowance.giveBack(lentRetries)

    private fun recordStatements(
        headers: HttpHeaders,
        nowNanos: Long,
    ) = call.service.targetStatements.onResponse(
        targetId = target.info.id,
        limit = headers.get(CallHeaders.LIMIT),
        leaving = headers.get(CallHeaders.LEAVING),
        isFromBackend = Verdict.fromHeader(headers.get(CallHeaders.VERDICT)) == Verdict.RAN,
        nowNanos = nowNanos,
    )

    private fun hopResult(
        outcome: AttemptOutcome,
        headers: HttpHeaders?,
    ) = HopResult(
        route = call.routeName,
        version = call.version,
        target = target.info.id,
        attempt = number,
        verdict = headers?.get(CallHeaders.VERDICT)?.let(Verdict::fromHeader) ?: if (isSent) Verdict.MAY_HAVE_RUN else Verdict.NOT_RUN,
        // A cancelled attempt has no response, which is not a failure of its target.
        status = if (headers == null) null else collector.head.status().code(),
        reason = if (outcome == AttemptOutcome.CANCELLED) "cancelled" else headers?.get(CallHeaders.REASON),
    )

    private fun parseLoad(headers: HttpHeaders): LoadReport? = headers.get(CallHeaders.LOAD)?.let(LoadHeader::parse)

    private companion object {
        // The target's node detects a silent backend server before this node does, and can report the cause.
        const val PROGRESS_GRACE_MS = 50L
    }
}
