package dev.lycheehill.cli.program

import dev.lycheehill.node.api.ApiEndpoint
import dev.lycheehill.node.api.ApiResponse
import dev.lycheehill.node.metrics.NodeMetrics
import dev.lycheehill.node.tracing.SpanRecorder
import io.netty.handler.codec.http.HttpMethod

/** Endpoints of the local API for metrics and traces. */
object ObservationEndpoints {
    private val TRACE_ID = Regex("[0-9a-f]{32}")

    /** Returns `/metrics` and `/v1/trace/{traceId}`. */
    fun of(
        metrics: NodeMetrics,
        spans: SpanRecorder,
    ): List<ApiEndpoint> =
        listOf(
            ApiEndpoint(HttpMethod.GET, "/metrics") { ApiResponse.text(metrics.scrape()) },
            ApiEndpoint(HttpMethod.GET, "/v1/trace/*") { trace(it.name, spans) },
        )

    private fun trace(
        traceId: String,
        spans: SpanRecorder,
    ): ApiResponse =
        if (TRACE_ID.matches(traceId)) {
            ApiResponse.json(spans.trace(traceId))
        } else {
            ApiResponse.error(BAD_REQUEST, "not a trace id (32 hex digits): $traceId")
        }

    private const val BAD_REQUEST = 400
}
