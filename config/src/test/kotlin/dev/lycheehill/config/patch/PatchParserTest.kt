package dev.lycheehill.config.patch

import arrow.core.Either
import dev.lycheehill.config.model.ConfigContent
import dev.lycheehill.config.model.CostClass
import dev.lycheehill.config.model.Priority
import dev.lycheehill.config.model.Route
import dev.lycheehill.config.model.Service
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo

class PatchParserTest {
    private val base =
        ConfigContent(
            services = mapOf("catalogue" to Service("catalogue"), "old" to Service("old")),
            routes = mapOf("old-read" to Route(name = "old-read", weights = mapOf("old" to 1))),
        )

    /** Guards against a key that is ignored, or read as another setting. */
    @Test
    fun `each key of a patch is read`() {
        val text =
            """
            [services.orders]
            timeout_ms = 3_000
            max_in_flight_per_target = 7
            max_queue = 8
            hedge_percent = 9

            [routes.order]
            host = "bobbins.example"
            path_prefix = "/orders"
            methods = ["GET", "HEAD"]
            weights = { orders = 90, catalogue = 10 }
            priority = "high"
            idempotent = false
            timeout_ms = 1500
            max_attempts = 2
            cost = "long"
            key_domain = "order"

            [remove]
            services = ["old"]
            routes = ["old-read"]
            """.trimIndent()
        val route =
            Route(
                name = "order",
                host = "bobbins.example",
                pathPrefix = "/orders",
                methods = setOf("GET", "HEAD"),
                weights = mapOf("orders" to 90, "catalogue" to 10),
                priority = Priority.HIGH,
                idempotent = false,
                timeoutMs = 1500,
                maxAttempts = 2,
                cost = CostClass.LONG,
                keyDomain = "order",
            )
        val orders = Service("orders", timeoutMs = 3_000, maxInFlightPerTarget = 7, maxQueue = 8, hedgePercent = 9)
        expectThat(result(text)).isEqualTo(
            Either.Right(
                ConfigContent(
                    services = mapOf("catalogue" to Service("catalogue"), "orders" to orders),
                    routes = mapOf("order" to route),
                ),
            ),
        )
    }

    /** Guards against a faulty patch that is accepted, and against a fault that is reported without its position. */
    @ParameterizedTest
    @MethodSource("faults")
    fun `a faulty patch is refused with file, line and key`(
        text: String,
        messages: List<String>,
    ) {
        expectThat(result(text).leftOrNull().orEmpty().map { it.toString() }).containsExactly(messages)
    }

    private fun result(text: String) =
        when (val patch = PatchParser.parse(text, "p.toml")) {
            is Either.Left -> patch
            is Either.Right -> patch.value.applyTo(base)
        }

    companion object {
        private const val ROUTE = "[routes.r]\nweights = { catalogue = 1 }\n"

        @JvmStatic
        fun faults() = textFaults() + serviceFaults() + routeFaults() + removalFaults()

        private fun textFaults() =
            listOf(
                row("", "p.toml: the patch is empty"),
                row("[services]\n[remove]\nservices = []", "p.toml: the patch is empty"),
                row("#" + "é".repeat(32_768), "p.toml: the patch has 65537 bytes; at most 65536 are permitted"),
                row("[services.a]\ntimeout_ms = ", "p.toml:2: invalid TOML: Premature end of file"),
                row("[services.a]\nmax_queue = 1\nmax_queue = 2", "p.toml:3: invalid TOML: Duplicate key"),
                row("[service.a]", "p.toml:1: service: unknown key; did you mean \"services\"?"),
            )

        private fun serviceFaults() =
            listOf(
                row(
                    "# comment\n\n[services.a]\ntimeout = 5",
                    "p.toml:4: services.a.timeout: unknown key; did you mean \"timeout_ms\"?",
                ),
                row(
                    "[services.a]\ntimeout_ms = 0\nmax_queue = \"4\"\nhedge_percent = 2.5",
                    "p.toml:2: services.a.timeout_ms: must be a whole number from 1 to 600000 milliseconds, got 0",
                    "p.toml:3: services.a.max_queue: must be a whole number from 0 to 100000 calls, got \"4\"",
                    "p.toml:4: services.a.hedge_percent: must be a whole number from 0 to 50 percent, got 2.5",
                ),
                row(
                    "services.a.timeout_ms = 99999999999",
                    "p.toml:1: services.a.timeout_ms: must be a whole number from 1 to 600000 milliseconds, got 99999999999",
                ),
                row("services = 4", "p.toml:1: services: must be a table, got 4"),
                row(
                    "[services.\"a b\"]",
                    "p.toml:1: services.a b: a name has letters, digits, \"-\" or \"_\", at most 63 characters",
                ),
            )

        private fun routeFaults() =
            listOf(
                row("[routes.r]", "p.toml:1: routes.r.weights: is required, as in weights = { catalogue = 100 }"),
                row(
                    "[routes.r]\nweights = { catalogue = 0 }",
                    "p.toml:2: routes.r.weights: must have a service with a weight above 0",
                ),
                row(
                    "[routes.r]\nhost = \"a\"\nweights = { catalogue = 1, catalog = 1 }",
                    "p.toml:3: routes.r.weights.catalog: the resulting version has no service \"catalog\"; did you mean \"catalogue\"?",
                ),
                row(
                    "[routes.r.weights]\ncatalogue = 1\nold = -1",
                    "p.toml:3: routes.r.weights.old: must be a whole number from 0 to 10000, got -1",
                ),
                row(
                    ROUTE + "path_prefix = \"/a/\"\nhost = \"A\"\npriority = \"urgent\"",
                    "p.toml:3: routes.r.path_prefix: must be a path that starts with \"/\" and ends without, got \"/a/\"",
                    "p.toml:4: routes.r.host: must be \"*\" or a host name in lower case, got \"A\"",
                    "p.toml:5: routes.r.priority: must be one of \"high\", \"normal\", \"low\", got \"urgent\"",
                ),
                row(
                    ROUTE + "methods = [\n  \"GET\", # a = 1\n  \"get\"]\nidempotent = 1\nmax_attempts = 6",
                    "p.toml:3: routes.r.methods: must be a list of methods in upper case, got [\"GET\",\"get\"]",
                    "p.toml:6: routes.r.idempotent: must be true or false, got 1",
                    "p.toml:7: routes.r.max_attempts: must be a whole number from 1 to 5 attempts, got 6",
                ),
            )

        private fun removalFaults() =
            listOf(
                row(
                    "[remove]\nservices = [\"old\"]",
                    "p.toml:2: remove.services: service \"old\" is still used by route \"old-read\"",
                ),
                row(
                    "[remove]\nroutes = [\"old-reed\"]\nservice = []",
                    "p.toml:3: remove.service: unknown key; did you mean \"services\"?",
                ),
                row(
                    "[remove]\nroutes = [\"old-reed\"]",
                    "p.toml:2: remove.routes: the base version has no route \"old-reed\"; did you mean \"old-read\"?",
                ),
                row(
                    "[services.old]\n[remove]\nservices = [\"old\"]",
                    "p.toml:3: remove.services: \"old\" is both set and removed",
                ),
            )

        private fun row(
            text: String,
            vararg messages: String,
        ) = arguments(text, messages.toList())
    }
}
