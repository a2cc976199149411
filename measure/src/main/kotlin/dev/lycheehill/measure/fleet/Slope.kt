package dev.lycheehill.measure.fleet

/** Line through points by least squares. */
class Slope(
    points: List<Pair<Double, Double>>,
) {
    /** Change of y for each unit of x. */
    val perUnit: Double

    /** Value at x = 0. */
    val base: Double

    init {
        val meanX = points.map { it.first }.average()
        val meanY = points.map { it.second }.average()
        val variance = points.sumOf { (x, _) -> (x - meanX) * (x - meanX) }
        perUnit = points.sumOf { (x, y) -> (x - meanX) * (y - meanY) } / variance
        base = meanY - perUnit * meanX
    }

    /** Value of the line at [x]. */
    fun at(x: Double): Double = base + perUnit * x
}
