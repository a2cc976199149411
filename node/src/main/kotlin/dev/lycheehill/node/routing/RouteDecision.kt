package dev.lycheehill.node.routing

import dev.lycheehill.config.model.Route
import dev.lycheehill.config.model.Service

/** Where a call goes, by the configuration version that it began with. */
internal class RouteDecision(
    val version: Long,
    val route: Route,
    val service: Service,
) {
    /** Name space of the idempotency keys of the route. */
    val keyDomain: String get() = route.keyDomain ?: route.name

    val timeoutMs: Int get() = route.timeoutMs ?: service.timeoutMs

    /** Whether a call with [method] may run more than once. */
    fun isIdempotent(method: String): Boolean = route.isIdempotent(method)
}
