package dev.lycheehill.node.tracing

/**
 * A finished span in the form of the local API. [HopResult] describes the properties that are not listed here.
 *
 * @property traceId trace id, as 32 hexadecimal digits.
 * @property spanId span id, as 16 hexadecimal digits.
 * @property parentSpanId span id of the parent span; null for the root span of a trace.
 * @property hop section of the call that the span covers.
 * @property nodeId node that recorded the span.
 * @property zone availability zone of that node.
 * @property startEpochMicros start time by the node's wall clock, in microseconds since the Unix epoch.
 * @property durationMicros duration in microseconds.
 * @property queueMicros time in the queue of the target's node, in microseconds.
 */
data class RecordedSpan(
    val traceId: String,
    val spanId: String,
    val parentSpanId: String?,
    val hop: Hop,
    val nodeId: String,
    val zone: String,
    val startEpochMicros: Long,
    val durationMicros: Long,
    val failed: Boolean,
    val route: String?,
    val version: Long,
    val target: String?,
    val attempt: Int,
    val verdict: String,
    val queueMicros: Long,
    val status: Int?,
    val reason: String?,
)
