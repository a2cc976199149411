package dev.lycheehill.node.settings

/**
 * Settings of the trace spans.
 *
 * @property samplePercent share of successful calls whose spans are kept; spans of failed calls are always kept.
 * @property ringSpans spans held in memory for `trace`; the oldest are dropped first.
 * @property otlpEndpoint OTLP/HTTP URL of a collector; null means no export.
 * @property otlpAuthorization value of the `Authorization` header sent to the collector.
 */
data class TracingSettings(
    val samplePercent: Int = 1,
    val ringSpans: Int = 4_096,
    val otlpEndpoint: String? = null,
    val otlpAuthorization: Secret? = null,
)
