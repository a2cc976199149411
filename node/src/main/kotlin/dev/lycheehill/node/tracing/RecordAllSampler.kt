package dev.lycheehill.node.tracing

import io.opentelemetry.api.common.Attributes
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.context.Context
import io.opentelemetry.sdk.trace.data.LinkData
import io.opentelemetry.sdk.trace.samplers.Sampler
import io.opentelemetry.sdk.trace.samplers.SamplingDecision
import io.opentelemetry.sdk.trace.samplers.SamplingResult

/**
 * A sampler that records every span and takes the sampled flag from [delegate].
 *
 * Whether a span failed is known only when the span ends, so [TailSamplingSpanProcessor] then decides whether to drop the span.
 */
internal class RecordAllSampler(
    private val delegate: Sampler,
) : Sampler {
    override fun shouldSample(
        parentContext: Context,
        traceId: String,
        name: String,
        spanKind: SpanKind,
        attributes: Attributes,
        parentLinks: List<LinkData>,
    ): SamplingResult {
        val result = delegate.shouldSample(parentContext, traceId, name, spanKind, attributes, parentLinks)
        return if (result.decision == SamplingDecision.DROP) SamplingResult.recordOnly() else result
    }

    override fun getDescription(): String = "RecordAll{${delegate.description}}"
}
