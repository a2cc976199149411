package dev.lycheehill.node.tracing

import io.opentelemetry.api.trace.SpanContext
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter

/** Parses and formats the W3C `traceparent` header. */
internal object Traceparent {
    private const val HEADER_NAME = "traceparent"
    private val PROPAGATOR = W3CTraceContextPropagator.getInstance()

    /** Returns a context with the remote span in [header], or the root context if [header] is missing or invalid. */
    fun parse(header: String?): Context = header?.let { PROPAGATOR.extract(Context.root(), it, HeaderGetter) } ?: Context.root()

    /** Formats [context] as a header value. */
    fun format(context: SpanContext): String = "00-${context.traceId}-${context.spanId}-${context.traceFlags.asHex()}"

    private object HeaderGetter : TextMapGetter<String> {
        override fun get(
            carrier: String?,
            key: String,
        ): String? = carrier?.takeIf { key == HEADER_NAME }
    }
}
