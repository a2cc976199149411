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
 * A [SpanRecorder] that records spans with the OpenTelemetry SDK. Spans are held in a bounded ring buffer, and exported if
 * [settings] name a collector.
 *
 * A new trace is sampled by its id, and a trace that arrives keeps its sampled flag. The spans of failed hops are always kept.
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
            .addSpanProcessor(TailSamplingSpanProcessor(ring, nodeId, zone, exporter?.let(::batchExport)))
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
        return RecordingSpan(span)
    }

    override fun trace(traceId: String): List<RecordedSpan> = ring.select { it.traceId == traceId }.sortedBy { it.startEpochMicros }

    override fun recentFailures(limit: Int): List<RecordedSpan> = ring.select { it.failed }.takeLast(limit).reversed()

    override fun close() {
        provider.shutdown().join(SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS)
    }

    private class RecordingSpan(
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
        const val SHUTDOWN_TIMEOUT_MS = 2_000L

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

        // The SDK exports only sampled spans by default, but failed spans are exported even if their trace is not sampled.
        fun batchExport(exporter: SpanExporter): SpanProcessor = BatchSpanProcessor.builder(exporter).setExportUnsampledSpans(true).build()
    }
}
