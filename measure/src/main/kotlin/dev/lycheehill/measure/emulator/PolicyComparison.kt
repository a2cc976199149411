package dev.lycheehill.measure.emulator

import kotlin.math.sqrt

/**
 * Mean results of one policy in one scenario over several seeds, compared with a reference policy under the same seeds.
 *
 * @property difference mean difference of the figure from that of the reference policy; positive if this policy is better.
 * @property confidenceHalfWidth half of the width of the 95% confidence interval of [difference].
 */
class PolicyComparison(
    val scenario: String,
    val policy: String,
    results: List<ScenarioResult>,
    reference: List<ScenarioResult>,
) {
    private val differences = results.zip(reference) { own, other -> own.figure - other.figure }

    val figure: Double = results.map { it.figure }.average()
    val worth: Double = results.map { it.worth }.average()
    val worstWindows: Double = results.map { it.worstWindows }.average()
    val served: Double = results.map { it.served }.average()
    val refusedAgain: Double = results.map { it.refusedAgain }.average()
    val sendsPerRequest: Double = results.map { it.sendsPerRequest }.average()
    val betweenZones: Double = results.map { it.betweenZones }.average()
    val limitUse: Double = results.maxOf { it.limitUse }
    val difference: Double = differences.average()
    val confidenceHalfWidth: Double = STUDENT_T * standardDeviation(differences) / sqrt(differences.size.toDouble())

    /** Formats the comparison as one line of the report. */
    fun summaryLine(): String =
        "%-16s %-18s figure=%.3f worth=%.3f windows=%.3f served=%.3f refused-again=%.3f sends=%.3f between-zones=%.3f limit-use=%.2f difference=%+.4f +-%.4f"
            .format(
                scenario,
                policy,
                figure,
                worth,
                worstWindows,
                served,
                refusedAgain,
                sendsPerRequest,
                betweenZones,
                limitUse,
                difference,
                confidenceHalfWidth,
            )

    private fun standardDeviation(values: List<Double>): Double {
        if (values.size < 2) return 0.0
        val mean = values.average()
        return sqrt(values.sumOf { (it - mean) * (it - mean) } / (values.size - 1))
    }

    private companion object {
        // 97.5th percentile of Student's t-distribution for 20 seeds (19 degrees of freedom).
        const val STUDENT_T = 2.09
    }
}
