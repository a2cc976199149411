package dev.lycheehill.node.tracing

import dev.lycheehill.node.settings.TracingSettings
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter
import io.opentelemetry.sdk.resources.Resource
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.SpanProcessor
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor
import io.opentelemetry.sdk.trace.export.SpanExporter
import io.opentelemetry.sdk.trace.samplers.Sampler
import java.util.concurrent.TimeUnit

/**
 * Records spans with the OpenTelemetry SDK into a bounded ring, and exports them when settings name a collector.
 *
 * A new trace is sampled by its id; a trace that arrives keeps its sampled flag. Failed spans are always kept.
 */
class OtelSpanRecorder(
    nodeId: String,
    zone: String,
    private val settings: TracingSettings = TracingSettings(),
    exporter: SpanExporter? = otlpExporter(settings),
) : SpanRecorder {
    private val ring = SpanRingBuffer(settings.ringSpans)
    private val provider =
        SdkTracerProvider
            .builder()
            .setSampler(RecordAllSampler(Sampler.parentBased(Sampler.traceIdRatioBased(settings.samplePercent / PERCENT))))
            .setResource(resource(nodeId, zone))
            .addSpanProcessor(TailSamplingSpanProcessor(ring, nodeId, zone, exporter?.let(::batches)))
            .build()
    private val tracer = provider.get("dev.lycheehill.node")

    override fun start(
        hop: Hop,
        traceparent: String?,
    ): HopSpan {
        val span =
            tracer
                .spanBuilder(hop.name.lowercase())
                .setParent(Traceparent.parse(traceparent))
                .setSpanKind(if (hop == Hop.ATTEMPT) SpanKind.CLIENT else SpanKind.SERVER)
                .setAttribute(SpanAttributes.HOP, hop.name)
                .startSpan()
        return Recording(span)
    }

    override fun trace(traceId: String): List<RecordedSpan> = ring.select { it.traceId == traceId }.sortedBy { it.startEpochMicros }

    override fun recentFailures(limit: Int): List<RecordedSpan> = ring.select { it.failed }.takeLast(limit).reversed()

    override fun close() {
        provider.shutdown().join(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }

    private class Recording(
        private val span: Span,
    ) : HopSpan {
        override val traceparent: String = Traceparent.format(span.spanContext)
        override val traceId: String get() = span.spanContext.traceId

        override fun end(result: HopResult) {
            span.setAllAttributes(SpanAttributes.of(result))
            if (result.failed) span.setStatus(StatusCode.ERROR, result.reason.orEmpty())
            span.end()
        }
    }

    private companion object {
        const val PERCENT = 100.0
        const val CLOSE_TIMEOUT_MS = 2_000L

        fun resource(
            nodeId: String,
            zone: String,
        ): Resource =
            Resource
                .builder()
                .put(SpanAttributes.SERVICE, "lycheehill-node")
                .put(SpanAttributes.NODE, nodeId)
                .put(SpanAttributes.ZONE, zone)
                .build()

        fun otlpExporter(settings: TracingSettings): SpanExporter? =
            settings.otlpEndpoint?.let { endpoint ->
                val builder = OtlpHttpSpanExporter.builder().setEndpoint(endpoint)
                settings.otlpAuthorization?.let { builder.addHeader("Authorization", it.reveal()) }
                builder.build()
            }

        // Failed spans are exported even when their trace is not sampled.
        fun batches(exporter: SpanExporter): SpanProcessor = BatchSpanProcessor.builder(exporter).setExportUnsampledSpans(true).build()
    }
}
