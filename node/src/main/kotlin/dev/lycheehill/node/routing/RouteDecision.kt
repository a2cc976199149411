package dev.lycheehill.node.routing

import dev.lycheehill.config.model.Route
import dev.lycheehill.config.model.Service

/** Route and service of a call, taken from the configuration [version] that was in force when the call began. */
internal class RouteDecision(
    val version: Long,
    val route: Route,
    val service: Service,
) {
    /** Key domain of the route: the namespace of its idempotency keys. */
    val keyDomain: String get() = route.keyDomain ?: route.name

    /** Timeout of the call in milliseconds; a timeout of the route overrides that of the service. */
    val timeoutMs: Int get() = route.timeoutMs ?: service.timeoutMs

    /** Whether a call with [method] may run more than once. */
    fun isIdempotent(method: String): Boolean = route.isIdempotent(method)
}
