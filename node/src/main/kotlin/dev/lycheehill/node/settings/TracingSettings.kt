package dev.lycheehill.node.settings

/**
 * Settings for the recording and the export of trace spans.
 *
 * @property samplePercent percentage of new traces that are sampled. Spans of failed calls are kept even if they are not sampled.
 * @property ringSpans capacity of the ring buffer of spans in memory, for the command `trace`. The oldest spans are overwritten first.
 * @property otlpEndpoint OTLP/HTTP URL of a collector; null if spans are not exported.
 * @property otlpAuthorization value of the `Authorization` header sent to the collector.
 */
data class TracingSettings(
    val samplePercent: Int = 1,
    val ringSpans: Int = 4_096,
    val otlpEndpoint: String? = null,
    val otlpAuthorization: Secret? = null,
)
