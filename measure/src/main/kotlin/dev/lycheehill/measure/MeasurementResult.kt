package dev.lycheehill.measure

/**
 * Outcome of one measurement.
 *
 * @property ours figure of this project; its unit is part of [name].
 * @property baseline figure of the baseline in the same run.
 * @property ratio [ours] divided by [baseline].
 * @property target the stated target in words.
 * @property met whether the target was met.
 */
data class MeasurementResult(
    val name: String,
    val seed: Long,
    val deployment: String,
    val ours: Double,
    val baseline: Double,
    val ratio: Double,
    val target: String,
    val met: Boolean,
) {
    /** One line for the report. */
    fun line(): String =
        "%s seed=%d deployment=%s ours=%.3f baseline=%.3f ratio=%.3f target=\"%s\" met=%s"
            .format(name, seed, deployment, ours, baseline, ratio, target, met)
}
