package dev.lycheehill.node.egress

/** The only target that may run a call with an idempotency key. */
internal class KeyHome(
    val domain: String,
    val nodeId: String,
)
