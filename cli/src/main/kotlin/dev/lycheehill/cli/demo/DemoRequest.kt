package dev.lycheehill.cli.demo

/**
 * One request of a caller.
 *
 * @property id unique id of the request. The response contains the id, so that a response to another request is detected.
 * @property key idempotency key of a request that must run at most once; null for a read.
 */
data class DemoRequest(
    val id: String,
    val path: String,
    val key: String? = null,
) {
    /** Whether the request may run more than once. */
    val isRepeatable: Boolean get() = key == null
}
