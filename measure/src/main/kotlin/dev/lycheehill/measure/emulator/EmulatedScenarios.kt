package dev.lycheehill.measure.emulator

import dev.lycheehill.calls.admission.CallPriority

/** The scenarios: two kinds of deployment, each with normal load and with several load peaks and faults. */
object EmulatedScenarios {
    /** Deployment with short requests and few slots, where a late response is worth about a tenth. */
    private val shortRequests =
        EmulatedScenario(
            name = "short",
            services = listOf(EmulatedService("quotes", 1, 9), EmulatedService("orders", 1, 9), EmulatedService("workshop", 1, 9)),
            routes =
                listOf(
                    route("quote", "quotes", 440.0, 60.0, 200, 500, 1.0, 0.1).copy(childRoute = "stock", meanChildCalls = 1.25),
                    route(
                        "order",
                        "orders",
                        150.0,
                        78.0,
                        250,
                        600,
                        2.1,
                        0.21,
                    ).copy(idempotent = false, childRoute = "table", meanChildCalls = 0.5),
                    route("archive", "workshop", 165.0, 150.0, 800, 1_000, 0.52, 0.078).copy(priority = CallPriority.LOW),
                    route("issue", "workshop", 58.0, 48.0, 150, 400, 2.0, 0.079).copy(idempotent = false, priority = CallPriority.HIGH),
                    route("stock", "orders", 0.0, 15.0, 60, 200),
                    route("table", "workshop", 0.0, 15.0, 60, 200),
                ),
        )

    /** Deployment with long requests, more slots and three availability zones. */
    private val longRequests =
        EmulatedScenario(
            name = "long",
            zones = 3,
            services = listOf(EmulatedService("history", 2, 18), EmulatedService("stamps", 1, 18), EmulatedService("withdrawals", 1, 18)),
            routes =
                listOf(
                    route("read", "history", 420.0, 190.0, 600, 2_500, 1.0, 0.1).copy(childRoute = "certificate", meanChildCalls = 0.4),
                    route("stamp", "stamps", 120.0, 250.0, 800, 3_000, 2.0, 0.2).copy(idempotent = false),
                    route(
                        "withdraw",
                        "withdrawals",
                        190.0,
                        130.0,
                        500,
                        2_000,
                        3.0,
                        0.3,
                    ).copy(idempotent = false, priority = CallPriority.HIGH),
                    route("certificate", "stamps", 0.0, 55.0, 200, 600),
                ),
        )

    /** All scenarios by name. */
    val all: Map<String, EmulatedScenario> =
        (
            scenariosOf(shortRequests, "quotes", "orders", "order", "quote", "archive", "issue") +
                scenariosOf(longRequests, "history", "stamps", "stamp", "read", "stamp", "withdraw")
        ).associateBy { it.name }

    private fun scenariosOf(
        deployment: EmulatedScenario,
        service: String,
        calledService: String,
        secondRoute: String,
        mainRoute: String,
        longRoute: String,
        urgentRoute: String,
    ): List<EmulatedScenario> {
        fun scenario(
            name: String,
            vararg faults: EmulatedFault,
        ) = deployment.copy(name = "${deployment.name}-$name", faults = faults.toList())
        return listOf(
            scenario("usual"),
            scenario(
                "crest",
                EmulatedFault.Burst(4_000, 10_000, longRoute, 2.4),
                EmulatedFault.Burst(14_000, 17_000, urgentRoute, 1.7),
                EmulatedFault.Burst(20_000, 26_000, mainRoute, 1.7),
            ),
            scenario("slow", EmulatedFault.Slow(5_000, 14_000, service, 1, 6.0), EmulatedFault.Slow(18_000, 25_000, calledService, 2, 3.0)),
            scenario(
                "failing",
                EmulatedFault.Failing(5_000, 14_000, service, 1, 0.8),
                EmulatedFault.Failing(18_000, 25_000, calledService, 1, 0.5),
            ),
            scenario(
                "shedding",
                EmulatedFault.Shedding(5_000, 14_000, calledService, 99, 0.55),
                EmulatedFault.Shedding(18_000, 25_000, calledService, 1, 0.9),
            ),
            scenario(
                "some-shed",
                EmulatedFault.Shedding(5_000, 14_000, calledService, 1, 0.9),
                EmulatedFault.Shedding(18_000, 25_000, service, 2, 0.5),
            ),
            scenario(
                "called-crest",
                EmulatedFault.Burst(5_000, 14_000, secondRoute, 2.6),
                EmulatedFault.Slow(18_000, 25_000, calledService, 2, 4.0),
            ),
            scenario(
                "limited",
                EmulatedFault.Limited(4_000, 14_000, service, 2, 8.0),
                EmulatedFault.Limited(17_000, 22_000, calledService, 1, 12.0),
                EmulatedFault.Limited(22_000, 26_000, calledService, 1, 5.0),
            ),
            scenario("power-off", EmulatedFault.PowerOff(10_000, 11_500), EmulatedFault.PowerOff(20_000, 21_000)),
        )
    }

    private fun route(
        name: String,
        service: String,
        callsPerSecond: Double,
        meanWorkMs: Double,
        aimMs: Long,
        deadlineMs: Long,
        worth: Double = 0.0,
        lateWorth: Double = 0.0,
    ) = EmulatedRoute(
        name = name,
        service = service,
        callsPerSecond = callsPerSecond,
        meanWorkMs = meanWorkMs,
        aimMs = aimMs,
        deadlineMs = deadlineMs,
        worth = worth,
        lateWorth = lateWorth,
    )
}
