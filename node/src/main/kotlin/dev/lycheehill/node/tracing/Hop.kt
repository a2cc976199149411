package dev.lycheehill.node.tracing

/** Part of a call that one span covers. */
enum class Hop {
    /** The complete call at the caller's node. */
    EGRESS,

    /** One attempt, from the caller's node to a target's node and back. */
    ATTEMPT,

    /** The call at the target's node, including the time in the queue and the execution in the backend server. */
    INGRESS,
}
