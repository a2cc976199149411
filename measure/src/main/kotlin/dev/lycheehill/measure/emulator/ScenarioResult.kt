package dev.lycheehill.measure.emulator

/**
 * What callers of an emulated day got; all figures are shares.
 *
 * @property worth worth earned of the worth owed.
 * @property worstWindows the same in the two worst windows of two seconds.
 * @property served requests that were answered with success.
 * @property refusedAgain requests that came back after a refusal and were refused again.
 * @property sendsPerRequest calls that nodes sent for each request; each costs both nodes processor time.
 * @property betweenZones calls that a node sent to another availability zone, whose bytes cost more.
 */
data class ScenarioResult(
    val worth: Double,
    val worstWindows: Double,
    val worthByRoute: Map<String, Double>,
    val served: Double,
    val refusedAgain: Double,
    val sendsPerRequest: Double,
    val betweenZones: Double,
) {
    /** Worst kind of request. */
    val worstRoute: Double get() = worthByRoute.values.min()

    /** One figure: the whole day and the worst windows count most, then the share served and the worst kind of request. */
    val figure: Double get() = 0.424 * worth + 0.32 * worstWindows + 0.16 * served + 0.096 * worstRoute
}
