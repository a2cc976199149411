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

/** One attempt of an [EgressCall] at one target. It reports its own end to the picker. */
internal class EgressAttempt(
    private val owner: EgressCall,
    val target: TargetHandle,
    val lentRetries: Int,
    val number: Int,
    val span: HopSpan,
) : ResponseCollectorListener {
    lateinit var collector: ResponseCollector

    private val startNanos = System.nanoTime()
    private var ended = false

    val isSent: Boolean get() = collector.exchange.isSent

    override fun onComplete(response: CollectedResponse) = owner.onComplete(this, response)

    override fun onTooLarge(collector: ResponseCollector) = owner.onTooLarge(this)

    override fun onFailure(failure: ExchangeFailure) = owner.onFailure(this, failure)

    override fun onStreamComplete() = owner.onStreamComplete(this)

    /**
     * Sends the attempt to its target.
     *
     * @param progressMs longest time without a byte of the answer.
     * @param head makes the head of the request from its call id and the time limit that the target's node is told.
     */
    fun send(
        loop: LoopContext,
        settings: DataPathSettings,
        progressMs: Long,
        body: ByteBuf,
        head: (String, Long?) -> HttpRequest,
    ) {
        val callId = loop.nextCallId()
        collector =
            ResponseCollector(
                maxBytes = settings.maxBufferedResponseBytes,
                judge = { if (it.headers().get(CallHeaders.CALL_ID) == callId) BackendResponseKind.RAN else BackendResponseKind.INVALID },
                listener = this,
            )
        val request = head(callId, progressMs.takeIf { settings.endsSilentCalls })
        val pool = loop.upstreams.pool(target.info.address)
        collector.exchange = pool.send(request, body.retainedDuplicate(), progressMs + PROGRESS_GRACE_MS, collector)
    }

    /** Gives up the attempt because its answer is not needed any more. */
    fun cancel() {
        collector.cancel()
        end(AttemptOutcome.CANCELLED, null)
    }

    /** Reports the end of the attempt. [headers] are those of the response, if there was one. */
    fun end(
        outcome: AttemptOutcome,
        headers: HttpHeaders?,
    ) {
        if (ended) return
        ended = true
        val now = System.nanoTime()
        owner.service.picker.onFinish(target, now, now - startNanos, outcome, headers?.let(::loadOf))
        if (outcome == AttemptOutcome.SUCCESS) owner.service.hedgePolicy.onLatency(now - startNanos, now)
        if (outcome == AttemptOutcome.SHED) owner.service.hedgePolicy.onShed(now)
        span.end(resultOf(outcome, headers))
        val unused = headers?.get(CallHeaders.RETRIES_LEFT)?.toIntOrNull() ?: if (headers == null) 0 else lentRetries
        owner.allowance.giveBack(minOf(unused, lentRetries))
    }

    /** Returns the lent retries of an attempt that did not run. */
    fun giveBackRetries() = owner.allowance.giveBack(lentRetries)

    private fun resultOf(
        outcome: AttemptOutcome,
        headers: HttpHeaders?,
    ) = HopResult(
        route = owner.routeName,
        version = owner.version,
        target = target.info.id,
        attempt = number,
        verdict = headers?.get(CallHeaders.VERDICT)?.let(Verdict::fromHeader) ?: if (isSent) Verdict.MAY_HAVE_RUN else Verdict.NOT_RUN,
        // A cancelled attempt has no response but is no failure of its target.
        status = if (headers == null) null else collector.head.status().code(),
        reason = if (outcome == AttemptOutcome.CANCELLED) "cancelled" else headers?.get(CallHeaders.REASON),
    )

    private fun loadOf(headers: HttpHeaders): LoadReport? = headers.get(CallHeaders.LOAD)?.let(LoadHeader::parse)

    private companion object {
        // The target's node finds a silent backend server first and can then say so.
        const val PROGRESS_GRACE_MS = 50L
    }
}
