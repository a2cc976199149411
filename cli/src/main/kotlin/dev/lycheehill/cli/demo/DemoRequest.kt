package dev.lycheehill.cli.demo

/**
 * One request of a caller.
 *
 * @property id unique; the response repeats it, so that a mixed-up response shows.
 * @property key idempotency key of a request that must run at most once; null for a read.
 */
data class DemoRequest(
    val id: String,
    val path: String,
    val key: String? = null,
) {
    /** Tells whether the request may run more than once. */
    val repeatable: Boolean get() = key == null
}
