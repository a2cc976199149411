package dev.lycheehill.measure.calls

/**
 * Figures of one mesh with slow targets.
 *
 * @property ratio 99th percentile with one slow target divided by that with none.
 * @property lowestSuccess lowest share of answered calls of all phases; latencies of answered calls alone mean little.
 */
internal class SlowBackendFigures(
    val ratio: Double,
    val lowestSuccess: Double,
)
