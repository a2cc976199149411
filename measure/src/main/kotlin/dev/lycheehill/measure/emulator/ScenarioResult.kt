package dev.lycheehill.measure.emulator

/**
 * Result of one simulation of a scenario. All values are shares, except [sendsPerRequest].
 *
 * @property worth worth of the responses that callers received, as a share of the worth of all requests.
 * @property worstWindows mean of [worth] over the two worst windows of two seconds.
 * @property worthByRoute [worth] of each route by its name.
 * @property served share of the requests that succeeded.
 * @property refusedAgain share of the requests that the client retried and that were refused again.
 * @property sendsPerRequest mean number of calls that nodes sent for each request; each call costs processor time on the
 *   nodes at both ends.
 * @property betweenZones share of the calls that were sent to another availability zone, whose traffic costs more.
 * @property limitUse most requests that a backend server with a limit got in 4 s, as a share of the number that it tolerates; above 1
 *   if the limit was exceeded.
 */
data class ScenarioResult(
    val worth: Double,
    val worstWindows: Double,
    val worthByRoute: Map<String, Double>,
    val served: Double,
    val refusedAgain: Double,
    val sendsPerRequest: Double,
    val betweenZones: Double,
    val limitUse: Double = 0.0,
) {
    /** Worth of the route with the lowest worth. */
    val worstRoute: Double get() = worthByRoute.values.min()

    /**
     * Weighted sum of the result: [worth] and [worstWindows] have the largest weights, [served] and [worstRoute] smaller
     * ones.
     */
    val figure: Double get() = 0.424 * worth + 0.32 * worstWindows + 0.16 * served + 0.096 * worstRoute
}
