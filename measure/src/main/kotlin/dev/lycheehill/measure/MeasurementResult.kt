package dev.lycheehill.measure

/**
 * Result of one measurement.
 *
 * @property name name of the measured quantity, with its unit where the quantity has one.
 * @property seed seed of all random choices.
 * @property deployment label of the deployment.
 * @property ours value measured with this project.
 * @property baseline value measured with the baseline in the same run.
 * @property ratio [ours] divided by [baseline].
 * @property target description of the stated target.
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
    /** Formats the result as one line of the report. */
    fun line(): String =
        "%s seed=%d deployment=%s ours=%.3f baseline=%.3f ratio=%.3f target=\"%s\" met=%s"
            .format(name, seed, deployment, ours, baseline, ratio, target, met)
}
