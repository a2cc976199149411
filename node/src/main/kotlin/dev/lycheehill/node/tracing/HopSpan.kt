package dev.lycheehill.node.tracing

/** A span that has started. Not thread-safe: only one thread may use the span at a time. */
interface HopSpan {
    /** Value of the `traceparent` header for messages sent within this hop. */
    val traceparent: String

    /** Trace id, as 32 hexadecimal digits. */
    val traceId: String

    /** Ends the span with [result]. Further calls have no effect. */
    fun end(result: HopResult)
}
