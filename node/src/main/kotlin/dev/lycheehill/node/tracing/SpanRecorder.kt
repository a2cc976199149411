package dev.lycheehill.node.tracing

/** Records a span for each hop of a call. Thread-safe. */
interface SpanRecorder : AutoCloseable {
    /**
     * Starts a span.
     *
     * @param traceparent W3C `traceparent` header of the received message or of the enclosing hop; null to start a new trace.
     */
    fun start(
        hop: Hop,
        traceparent: String?,
    ): HopSpan

    /** Returns the spans of the trace [traceId] that this node still holds, ordered by start time. */
    fun trace(traceId: String): List<RecordedSpan>

    /** Returns up to [limit] failed spans that this node still holds, newest first. */
    fun recentFailures(limit: Int): List<RecordedSpan>
}
