package dev.lycheehill.node.metrics

/** Kind of a meter and the suffix that Prometheus adds to its name. */
enum class MeterKind(
    val prometheusSuffix: String,
) {
    COUNTER("_total"),
    TIMER("_seconds"),
    GAUGE(""),
}
