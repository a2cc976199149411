package dev.lycheehill.node.tracing

import io.opentelemetry.api.trace.SpanContext
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter

/** Conversion of the W3C `traceparent` header. */
internal object Traceparent {
    private const val HEADER = "traceparent"
    private val PROPAGATOR = W3CTraceContextPropagator.getInstance()

    /** Returns a context with the remote span that [header] names; a missing or invalid header gives the root context. */
    fun parse(header: String?): Context = header?.let { PROPAGATOR.extract(Context.root(), it, GETTER) } ?: Context.root()

    /** Formats [context] as a header value. */
    fun format(context: SpanContext): String = "00-${context.traceId}-${context.spanId}-${context.traceFlags.asHex()}"

    private object GETTER : TextMapGetter<String> {
        override fun get(
            carrier: String?,
            key: String,
        ): String? = carrier?.takeIf { key == HEADER }
    }
}
