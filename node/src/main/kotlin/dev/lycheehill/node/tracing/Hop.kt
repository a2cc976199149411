package dev.lycheehill.node.tracing

/** Part of the path of a call that one span covers. */
enum class Hop {
    /** The whole call at the caller's node. */
    EGRESS,

    /** One attempt, from the caller's node to a target's node and back. */
    ATTEMPT,

    /** The call at the target's node, with its queue and its backend server. */
    INGRESS,
}
