package dev.lycheehill.measure.fleet

/** Line fitted to points by least squares. */
class LinearFit(
    points: List<Pair<Double, Double>>,
) {
    /** Change of y per unit of x. */
    val slope: Double

    /** Value of the line at x = 0. */
    val intercept: Double

    init {
        val meanX = points.map { it.first }.average()
        val meanY = points.map { it.second }.average()
        val variance = points.sumOf { (x, _) -> (x - meanX) * (x - meanX) }
        slope = points.sumOf { (x, y) -> (x - meanX) * (y - meanY) } / variance
        intercept = meanY - slope * meanX
    }

    /** Returns the value of the line at [x]. */
    fun valueAt(x: Double): Double = intercept + slope * x
}
