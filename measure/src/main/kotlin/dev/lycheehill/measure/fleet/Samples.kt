package dev.lycheehill.measure.fleet

/** Sorted samples with percentiles. */
class Samples(
    values: Collection<Double>,
) {
    private val sorted = values.sorted()

    /** Number of samples. */
    val size: Int get() = sorted.size

    /** Greatest sample. */
    val max: Double get() = sorted.last()

    /** The sample below which [percent] percent of the samples lie. */
    fun percentile(percent: Double): Double = sorted[((sorted.size - 1) * percent / 100).toInt()]
}
