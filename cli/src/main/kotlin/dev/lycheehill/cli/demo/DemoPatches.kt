package dev.lycheehill.cli.demo

/** Creates the patches that the demo publishes, as TOML text. */
class DemoPatches(
    private val deployment: Deployment,
) {
    /** Returns a patch that sets all services and routes. */
    fun initial(): String =
        deployment.services.keys.joinToString("\n") { service(it, timeoutMs = 2_000) } + "\n" +
            deployment.reads.joinToString("\n") { read(it, timeoutMs = 1_500) } + "\n" +
            deployment.orders.joinToString("\n") { order(it) }

    /** Returns a patch that changes the timeout of the first read route. */
    fun readTimeout(timeoutMs: Int): String = read(deployment.reads.first(), timeoutMs)

    /** Returns a patch that changes the timeout of one service. */
    fun serviceTimeout(timeoutMs: Int): String = service(deployment.services.keys.first(), timeoutMs)

    /** Returns an invalid patch: a route to a service that does not exist. */
    fun toMissingService(): String = read(deployment.reads.first().copy(service = "attic"), timeoutMs = 1_500)

    private fun service(
        name: String,
        timeoutMs: Int,
    ): String =
        """
        |[services.$name]
        |timeout_ms = $timeoutMs
        |max_in_flight_per_target = ${deployment.slots}
        |max_queue = ${deployment.slots * QUEUE_PER_SLOT}
        |
        """.trimMargin()

    private fun read(
        route: DemoRoute,
        timeoutMs: Int,
    ): String =
        """
        |[routes.${route.name}]
        |host = "${deployment.host}"
        |path_prefix = "${route.path}"
        |methods = ["GET", "HEAD"]
        |weights = { ${route.service} = 100 }
        |priority = "high"
        |timeout_ms = $timeoutMs
        |cost = "short"
        |
        """.trimMargin()

    private fun order(route: DemoRoute): String =
        """
        |[routes.${route.name}]
        |host = "${deployment.host}"
        |path_prefix = "${route.path}"
        |methods = ["POST"]
        |weights = { ${route.service} = 100 }
        |idempotent = false
        |timeout_ms = 2000
        |
        """.trimMargin()

    private companion object {
        const val QUEUE_PER_SLOT = 4
    }
}
