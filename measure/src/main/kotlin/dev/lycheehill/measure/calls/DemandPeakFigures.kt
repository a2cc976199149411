package dev.lycheehill.measure.calls

/**
 * Results of one demand peak.
 *
 * @property goodputShare rate of successful calls as a share of the capacity.
 * @property highSuccessShare share of the high-priority calls that succeeded.
 */
internal class DemandPeakFigures(
    val goodputShare: Double,
    val highSuccessShare: Double,
)
