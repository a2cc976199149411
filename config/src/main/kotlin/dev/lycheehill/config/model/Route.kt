package dev.lycheehill.config.model

import kotlinx.serialization.Serializable

/**
 * Route that maps requests to services.
 *
 * @property name unique name of the route.
 * @property host exact host name, or `*` for any host.
 * @property pathPrefix prefix of the path, which ends at the boundary of a path segment.
 * @property methods accepted methods; an empty set accepts any method.
 * @property weights weights by service name, which divide the calls. Each weight is at least 0 and one or more are positive.
 * @property priority priority of the calls under overload.
 * @property idempotent whether a call may run more than once; null means that the method decides.
 * @property timeoutMs time limit of a call, in milliseconds; null means the time limit of the service.
 * @property maxAttempts most attempts of one call, the first attempt included.
 * @property cost expected duration of the calls.
 * @property keyDomain namespace of idempotency keys; null means the name of the route.
 * @property aimMs soft deadline: time in milliseconds within which a response has its full value to the caller; null when the
 * route states none.
 */
@Serializable
data class Route(
    val name: String,
    val host: String = "*",
    val pathPrefix: String = "/",
    val methods: Set<String> = emptySet(),
    val weights: Map<String, Int>,
    val priority: Priority = Priority.NORMAL,
    val idempotent: Boolean? = null,
    val timeoutMs: Int? = null,
    val maxAttempts: Int = 3,
    val cost: CostClass = CostClass.LEARNED,
    val keyDomain: String? = null,
    val aimMs: Int? = null,
) {
    /** Returns whether a call with [method] may run more than once. */
    fun isIdempotent(method: String): Boolean = idempotent ?: (method in IDEMPOTENT_METHODS)

    private companion object {
        val IDEMPOTENT_METHODS = setOf("GET", "HEAD", "PUT", "DELETE", "OPTIONS")
    }
}
