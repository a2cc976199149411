package dev.lycheehill.node.tracing

import io.opentelemetry.context.Context
import io.opentelemetry.sdk.common.CompletableResultCode
import io.opentelemetry.sdk.trace.ReadWriteSpan
import io.opentelemetry.sdk.trace.ReadableSpan
import io.opentelemetry.sdk.trace.SpanProcessor

/**
 * A span processor that decides at the end of a span whether to keep the span.
 *
 * Spans that are sampled or failed are added to [ringBuffer] and passed to [exportProcessor]. All other spans are dropped.
 */
internal class TailSamplingSpanProcessor(
    private val ringBuffer: SpanRingBuffer,
    private val nodeId: String,
    private val zone: String,
    private val exportProcessor: SpanProcessor?,
) : SpanProcessor {
    override fun onStart(
        parentContext: Context,
        span: ReadWriteSpan,
    ) = Unit

    override fun isStartRequired(): Boolean = false

    override fun onEnd(span: ReadableSpan) {
        val failed = span.getAttribute(SpanAttributes.FAILED) ?: true
        if (!failed && !span.spanContext.isSampled) return
        ringBuffer.add(toRecordedSpan(span, failed))
        exportProcessor?.onEnd(span)
    }

    override fun isEndRequired(): Boolean = true

    override fun shutdown(): CompletableResultCode = exportProcessor?.shutdown() ?: CompletableResultCode.ofSuccess()

    override fun forceFlush(): CompletableResultCode = exportProcessor?.forceFlush() ?: CompletableResultCode.ofSuccess()

    private fun toRecordedSpan(
        span: ReadableSpan,
        failed: Boolean,
    ): RecordedSpan =
        RecordedSpan(
            traceId = span.spanContext.traceId,
            spanId = span.spanContext.spanId,
            parentSpanId = span.parentSpanContext.takeIf { it.isValid }?.spanId,
            hop = Hop.valueOf(span.getAttribute(SpanAttributes.HOP) ?: Hop.EGRESS.name),
            nodeId = nodeId,
            zone = zone,
            startEpochMicros = span.toSpanData().startEpochNanos / NANOS_PER_MICRO,
            durationMicros = span.latencyNanos / NANOS_PER_MICRO,
            failed = failed,
            route = span.getAttribute(SpanAttributes.ROUTE),
            version = span.getAttribute(SpanAttributes.VERSION) ?: 0,
            target = span.getAttribute(SpanAttributes.TARGET),
            attempt = span.getAttribute(SpanAttributes.ATTEMPT)?.toInt() ?: 0,
            verdict = span.getAttribute(SpanAttributes.VERDICT).orEmpty(),
            queueMicros = span.getAttribute(SpanAttributes.QUEUE_MICROS) ?: 0,
            status = span.getAttribute(SpanAttributes.STATUS)?.toInt(),
            reason = span.getAttribute(SpanAttributes.REASON),
        )

    private companion object {
        const val NANOS_PER_MICRO = 1_000
    }
}
