package dev.lycheehill.node.target

/** Result of processing a heartbeat in [HeartbeatTracker]. */
enum class HeartbeatOutcome {
    /** The heartbeat is the newest of the backend server beside this node and was applied. */
    TAKEN,

    /** A newer heartbeat was applied before, so this one was ignored. */
    LATE,

    /** The service or the address is not that of the backend server beside this node, so the heartbeat was ignored. */
    FOREIGN,
}
