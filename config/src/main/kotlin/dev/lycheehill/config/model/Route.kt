package dev.lycheehill.config.model

import kotlinx.serialization.Serializable

/**
 * Maps requests to services.
 *
 * @property host exact host name, or `*` for any.
 * @property pathPrefix prefix that ends on a path segment boundary.
 * @property methods accepted methods; empty means any.
 * @property weights share of the calls by service name; each weight is at least 0 and one is positive.
 * @property idempotent whether a call may run more than once; null means decided by the method.
 * @property timeoutMs time limit of a call; null means that of the service.
 * @property aimMs time within which a response has its full value to the caller; null when none is stated.
 * @property keyDomain name space of idempotency keys; null means the name of the route.
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
    /** Whether a call with [method] may run more than once. */
    fun isIdempotent(method: String): Boolean = idempotent ?: (method in IDEMPOTENT_METHODS)

    private companion object {
        val IDEMPOTENT_METHODS = setOf("GET", "HEAD", "PUT", "DELETE", "OPTIONS")
    }
}
