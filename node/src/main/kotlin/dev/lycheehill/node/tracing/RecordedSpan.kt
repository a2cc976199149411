package dev.lycheehill.node.tracing

/**
 * A finished span as the local API shows it.
 *
 * @property traceId 32 hex digits.
 * @property spanId 16 hex digits.
 * @property parentSpanId span id of the enclosing span; null for the first span of a trace.
 * @property startEpochMicros start by the node's wall clock in microseconds since the Unix epoch.
 * @property durationMicros time from start to end in microseconds.
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
