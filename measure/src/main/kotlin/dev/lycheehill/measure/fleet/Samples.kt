package dev.lycheehill.measure.fleet

/** Sorted samples with percentiles. */
class Samples(
    values: Collection<Double>,
) {
    private val sorted = values.sorted()

    /** Number of samples. */
    val size: Int get() = sorted.size

    /** Largest sample. */
    val max: Double get() = sorted.last()

    /** Returns the percentile [percent] (0 to 100) of the samples, without interpolation. */
    fun percentile(percent: Double): Double = sorted[((sorted.size - 1) * percent / 100).toInt()]
}
