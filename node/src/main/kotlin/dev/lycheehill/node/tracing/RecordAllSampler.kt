package dev.lycheehill.node.tracing

import io.opentelemetry.api.common.Attributes
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.context.Context
import io.opentelemetry.sdk.trace.data.LinkData
import io.opentelemetry.sdk.trace.samplers.Sampler
import io.opentelemetry.sdk.trace.samplers.SamplingDecision
import io.opentelemetry.sdk.trace.samplers.SamplingResult

/**
 * Records every span, but sets the sampled flag only as [delegate] decides.
 *
 * A failure is known only when the span ends, so the decision to drop a span is made there.
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
