package dev.lycheehill.node.tracing

/** A span that has started. Used by one thread at a time. */
interface HopSpan {
    /** Value of the `traceparent` header for messages sent within this hop. */
    val traceparent: String

    /** Trace id as 32 hex digits. */
    val traceId: String

    /** Ends the span. Later calls have no effect. */
    fun end(result: HopResult)
}
