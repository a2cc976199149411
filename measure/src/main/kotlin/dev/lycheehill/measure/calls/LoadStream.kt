package dev.lycheehill.measure.calls

/**
 * Stream of calls of one kind, with exponentially distributed times between the calls.
 *
 * @property callsPerSecond function from the time in seconds since the start of the load to the rate of calls.
 */
class LoadStream(
    val kind: CallKind,
    val callsPerSecond: (Double) -> Double,
) {
    constructor(kind: CallKind, constantRate: Double) : this(kind, { constantRate })
}
