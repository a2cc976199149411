package dev.lycheehill.measure.emulator

/** What callers of an emulated day got, by route and window of two seconds. */
internal class ScenarioTally(
    private val scenario: EmulatedScenario,
) {
    private class Cell {
        var owed = 0.0
        var earned = 0.0
        var asked = 0
        var served = 0
    }

    private val byRoute = scenario.routes.associate { it.name to Cell() }
    private val byWindow = List((scenario.durationMs / WINDOW_MS).toInt() + 1) { Cell() }
    private var refusedAgain = 0
    private var sent = 0
    private var sentBetweenZones = 0

    /** A node has sent a call to a backend server of its own availability zone or of another. */
    fun sent(betweenZones: Boolean) {
        sent++
        if (betweenZones) sentBetweenZones++
    }

    /** A request that was first sent at [sentMs] has ended after [tookMs]. */
    fun ended(
        route: EmulatedRoute,
        sentMs: Long,
        succeeded: Boolean,
        tookMs: Long,
        refusedAgain: Boolean,
    ) {
        val inAim = succeeded && tookMs <= route.aimMs
        val worth =
            if (inAim) {
                route.worth
            } else if (succeeded) {
                route.lateWorth
            } else {
                0.0
            }
        for (cell in listOf(byRoute.getValue(route.name), byWindow[(sentMs / WINDOW_MS).toInt()])) {
            cell.owed += route.worth
            cell.earned += worth
            cell.asked++
            if (succeeded) cell.served++
        }
        if (refusedAgain) this.refusedAgain++
    }

    fun result(): ScenarioResult {
        val cells = byRoute.filterValues { it.asked > 0 }
        val asked = cells.values.sumOf { it.asked }
        val windows = byWindow.filter { it.asked > 0 }.map { it.earned / it.owed }
        return ScenarioResult(
            worth = cells.values.sumOf { it.earned } / cells.values.sumOf { it.owed },
            worstWindows = windows.sorted().take(WORST).average(),
            worthByRoute = cells.mapValues { (_, cell) -> cell.earned / cell.owed },
            served = cells.values.sumOf { it.served }.toDouble() / asked,
            refusedAgain = refusedAgain.toDouble() / asked,
            sendsPerRequest = sent.toDouble() / asked,
            betweenZones = sentBetweenZones.toDouble() / sent.coerceAtLeast(1),
        )
    }

    private companion object {
        const val WINDOW_MS = 2_000L
        const val WORST = 2
    }
}
