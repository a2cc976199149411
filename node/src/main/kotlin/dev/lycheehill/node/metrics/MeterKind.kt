package dev.lycheehill.node.metrics

/**
 * Kind of a meter.
 *
 * @property prometheusSuffix suffix of the meter's name in the Prometheus text format.
 */
enum class MeterKind(
    val prometheusSuffix: String,
) {
    COUNTER("_total"),
    TIMER("_seconds"),
    GAUGE(""),
}
