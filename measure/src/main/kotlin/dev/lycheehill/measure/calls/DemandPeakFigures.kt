package dev.lycheehill.measure.calls

/** Figures of one crest: successful calls as a share of the capacity, and the share of high-priority calls that succeeded. */
internal class DemandPeakFigures(
    val goodputShare: Double,
    val highSuccess: Double,
)
