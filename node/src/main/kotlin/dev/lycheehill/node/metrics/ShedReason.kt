package dev.lycheehill.node.metrics

/** Reason why the ingress refused a call before it ran. */
enum class ShedReason {
    QUEUE_FULL,
    QUEUE_AGE,
    RATE_LIMIT,
    PRIORITY,
    DEADLINE,
    DRAINING,
    QUARANTINED,
    BACKEND,
    KEY_TABLE_FULL,
    NO_MAJORITY,
}
