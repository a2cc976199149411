package dev.lycheehill.node.tracing

import io.opentelemetry.api.common.AttributeKey
import io.opentelemetry.api.common.Attributes

/** Keys of the span attributes and of the resource attributes, and the conversion of a [HopResult] to span attributes. */
internal object SpanAttributes {
    val HOP: AttributeKey<String> = AttributeKey.stringKey("lycheehill.hop")
    val ROUTE: AttributeKey<String> = AttributeKey.stringKey("lycheehill.route")
    val VERSION: AttributeKey<Long> = AttributeKey.longKey("lycheehill.version")
    val TARGET: AttributeKey<String> = AttributeKey.stringKey("lycheehill.target")
    val ATTEMPT: AttributeKey<Long> = AttributeKey.longKey("lycheehill.attempt")
    val VERDICT: AttributeKey<String> = AttributeKey.stringKey("lycheehill.verdict")
    val QUEUE_MICROS: AttributeKey<Long> = AttributeKey.longKey("lycheehill.queue_us")
    val STATUS: AttributeKey<Long> = AttributeKey.longKey("http.response.status_code")
    val REASON: AttributeKey<String> = AttributeKey.stringKey("lycheehill.reason")
    val FAILED: AttributeKey<Boolean> = AttributeKey.booleanKey("lycheehill.failed")
    val NODE: AttributeKey<String> = AttributeKey.stringKey("service.instance.id")
    val ZONE: AttributeKey<String> = AttributeKey.stringKey("cloud.availability_zone")
    val SERVICE: AttributeKey<String> = AttributeKey.stringKey("service.name")

    private const val NANOS_PER_MICRO = 1_000

    /** Returns the span attributes for [result]. */
    fun of(result: HopResult): Attributes =
        Attributes
            .builder()
            .apply {
                result.route?.let { put(ROUTE, it) }
                result.target?.let { put(TARGET, it) }
                result.status?.let { put(STATUS, it.toLong()) }
                result.reason?.let { put(REASON, it) }
                put(VERSION, result.version)
                put(ATTEMPT, result.attempt.toLong())
                put(VERDICT, result.verdict.headerValue)
                put(QUEUE_MICROS, result.queueNanos / NANOS_PER_MICRO)
                put(FAILED, result.failed)
            }.build()
}
