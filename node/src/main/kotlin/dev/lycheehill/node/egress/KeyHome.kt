package dev.lycheehill.node.egress

/** The home of an idempotency key: the only target that may execute calls with this key. */
internal class KeyHome(
    val domain: String,
    val nodeId: String,
)
