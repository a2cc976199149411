package dev.lycheehill.measure.calls

/**
 * Calls of one kind with exponentially distributed gaps.
 *
 * @property callsPerSecond rate by the time since the start of the load, in seconds.
 */
class LoadStream(
    val kind: CallKind,
    val callsPerSecond: (Double) -> Double,
) {
    constructor(kind: CallKind, constantRate: Double) : this(kind, { constantRate })
}
