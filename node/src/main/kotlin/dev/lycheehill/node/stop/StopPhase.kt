package dev.lycheehill.node.stop

/** Phase of a planned stop, in order. */
internal enum class StopPhase {
    /** The stop has begun. */
    BEGUN,

    /** New calls to the backend server are refused. Callers are still served. */
    DRAINING,

    /** The listeners are closed, and the node waits for the calls in flight. */
    CLOSING,

    /** The wait is over, and the node leaves the fleet. */
    LEAVING,

    /** The node has left. The process ends. */
    ENDED,
    ;

    /** Name in logs. */
    val label: String = name.lowercase()
}
