package dev.lycheehill.node.target

/** What became of a heartbeat. */
enum class HeartbeatOutcome {
    /** It is the newest word of the backend server beside this node. */
    TAKEN,

    /** A newer one was taken before. */
    LATE,

    /** It speaks of another service or address than those beside this node. */
    FOREIGN,
}
