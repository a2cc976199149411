package dev.lycheehill.node.tracing

/** Records a span for each hop of a call. */
interface SpanRecorder : AutoCloseable {
    /** Starts a span. [traceparent] is the W3C header that arrived or that of the enclosing hop; null starts a new trace. */
    fun start(
        hop: Hop,
        traceparent: String?,
    ): HopSpan

    /** Returns the spans of [traceId] that this node still holds, in order of their start. */
    fun trace(traceId: String): List<RecordedSpan>

    /** Returns at most [limit] failed spans that this node still holds, the newest first. */
    fun recentFailures(limit: Int): List<RecordedSpan>
}
