package dev.lycheehill.cli.demo

/**
 * Shape of the deployment that a demo simulates.
 *
 * @property host value of the header `Host` of all requests.
 * @property services number of targets by service name.
 * @property slots maximum number of calls that one target runs concurrently.
 * @property reads routes of idempotent reads.
 * @property orders routes of non-idempotent requests, which have an idempotency key.
 */
data class Deployment(
    val name: String,
    val region: String,
    val zones: List<String>,
    val host: String,
    val services: Map<String, Int>,
    val slots: Int,
    val reads: List<DemoRoute>,
    val orders: List<DemoRoute>,
) {
    /** Total number of targets. */
    val targets: Int get() = services.values.sum()

    /** Predefined deployments. */
    companion object {
        /** Deployment of the Freshwater Bobbin Makers Co-operative. */
        val COOPERATIVE =
            Deployment(
                name = "cooperative",
                region = "great-lakes",
                zones = listOf("lakes-a", "lakes-b", "lakes-c"),
                host = "bobbins.example",
                services = mapOf("catalogue" to 4, "orders" to 3, "ledger" to 3, "workshop" to 3),
                slots = 10,
                reads = listOf(DemoRoute("catalogue-read", "/catalogue", "catalogue"), DemoRoute("lathes-read", "/lathes", "workshop")),
                orders =
                    listOf(
                        DemoRoute("orders-write", "/orders", "orders"),
                        DemoRoute("dues-write", "/dues", "ledger"),
                        DemoRoute("bookings-write", "/bookings", "workshop"),
                    ),
            )

        /** Deployment of Chaiyaphruek Inspection Systems. */
        val CHAIYAPHRUEK =
            Deployment(
                name = "chaiyaphruek",
                region = "th-central",
                zones = listOf("bkk-a", "bkk-b", "bkk-c"),
                host = "cards.example",
                services = mapOf("history" to 4, "recert" to 3, "condemn" to 3, "assign" to 3),
                slots = 20,
                reads = listOf(DemoRoute("history-read", "/history", "history"), DemoRoute("assignments-read", "/assignments", "assign")),
                orders =
                    listOf(
                        DemoRoute("recert-write", "/recert", "recert"),
                        DemoRoute("condemn-write", "/condemn", "condemn"),
                        DemoRoute("assign-write", "/assign", "assign"),
                    ),
            )

        /** Predefined deployments by name. */
        val BY_NAME: Map<String, Deployment> = listOf(COOPERATIVE, CHAIYAPHRUEK).associateBy { it.name }
    }
}
