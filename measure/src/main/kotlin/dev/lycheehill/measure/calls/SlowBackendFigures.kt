package dev.lycheehill.measure.calls

/**
 * Results of one mesh with slow targets.
 *
 * @property ratio 99th percentile of the latency with one slow target, divided by the percentile with no slow target.
 * @property lowestSuccessShare lowest share of successful calls in any phase. Latencies cover successful calls only and say
 *   little if many calls fail.
 */
internal class SlowBackendFigures(
    val ratio: Double,
    val lowestSuccessShare: Double,
)
