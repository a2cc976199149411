package dev.lycheehill.node.api

import dev.lycheehill.node.metrics.NodeMetrics
import dev.lycheehill.node.tracing.SpanRecorder
import io.netty.handler.codec.http.HttpMethod

/** Endpoints for the metrics of this node and for the trace spans that this node holds. */
internal class ObservabilityEndpoints(
    private val metrics: NodeMetrics,
    private val spans: SpanRecorder,
) {
    fun all(): List<ApiEndpoint> =
        listOf(
            ApiEndpoint(HttpMethod.GET, "/metrics") { ApiResponse.text(metrics.scrape()) },
            ApiEndpoint(HttpMethod.GET, "/v1/trace/*") { ApiResponse.json(spans.trace(it.pathParameter)) },
        )
}
