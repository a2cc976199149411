package dev.lycheehill.measure.emulator

/** Counts the outcomes of the requests of [scenario], by route and by window of two seconds. */
internal class ScenarioTally(
    private val scenario: EmulatedScenario,
) {
    private class Totals {
        var attainableWorth = 0.0
        var earnedWorth = 0.0
        var requests = 0
        var servedRequests = 0
    }

    private val byRoute = scenario.routes.associate { it.name to Totals() }
    private val byWindow = List((scenario.durationMs / WINDOW_MS).toInt() + 1) { Totals() }
    private var refusedAgain = 0
    private var sentCalls = 0
    private var crossZoneCalls = 0
    private val limitUse = LimitUse()

    /** Records a call that a node sent to a backend server of its own availability zone or of another zone. */
    fun recordCall(betweenZones: Boolean) {
        sentCalls++
        if (betweenZones) crossZoneCalls++
    }

    /** Records the arrival of a request at a backend server that states a limit; [requestsPerSecond] is null if it states none. */
    fun recordArrival(
        serverId: String,
        atMs: Long,
        requestsPerSecond: Double?,
    ) = limitUse.recordArrival(serverId, atMs, requestsPerSecond)

    /** Records the end of a request that the client first sent at [sentAtMs] and that took [elapsedMs], both in milliseconds. */
    fun recordRequest(
        route: EmulatedRoute,
        sentAtMs: Long,
        succeeded: Boolean,
        elapsedMs: Long,
        refusedAgain: Boolean,
    ) {
        val isWithinAim = succeeded && elapsedMs <= route.aimMs
        val worth =
            if (isWithinAim) {
                route.worth
            } else if (succeeded) {
                route.lateWorth
            } else {
                0.0
            }
        for (totals in listOf(byRoute.getValue(route.name), byWindow[(sentAtMs / WINDOW_MS).toInt()])) {
            totals.attainableWorth += route.worth
            totals.earnedWorth += worth
            totals.requests++
            if (succeeded) totals.servedRequests++
        }
        if (refusedAgain) this.refusedAgain++
    }

    fun result(): ScenarioResult {
        val routeTotals = byRoute.filterValues { it.requests > 0 }
        val requests = routeTotals.values.sumOf { it.requests }
        val windows = byWindow.filter { it.requests > 0 }.map { it.earnedWorth / it.attainableWorth }
        return ScenarioResult(
            worth = routeTotals.values.sumOf { it.earnedWorth } / routeTotals.values.sumOf { it.attainableWorth },
            worstWindows = windows.sorted().take(WORST_WINDOW_COUNT).average(),
            worthByRoute = routeTotals.mapValues { (_, totals) -> totals.earnedWorth / totals.attainableWorth },
            served = routeTotals.values.sumOf { it.servedRequests }.toDouble() / requests,
            refusedAgain = refusedAgain.toDouble() / requests,
            sendsPerRequest = sentCalls.toDouble() / requests,
            betweenZones = crossZoneCalls.toDouble() / sentCalls.coerceAtLeast(1),
            limitUse = limitUse.maxShare(),
        )
    }

    private companion object {
        const val WINDOW_MS = 2_000L
        const val WORST_WINDOW_COUNT = 2
    }
}
