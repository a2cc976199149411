package dev.lycheehill.calls.balancing

/** Outcome of an attempt, as the choice of targets needs it. */
enum class AttemptOutcome {
    /** A usable response arrived. */
    SUCCESS,

    /** The node of the target refused the call because of load or a drain. The target is not faulty. */
    SHED,

    /** The connection was reset or stalled, a time limit was exceeded, or the response was a server error. */
    FAILURE,

    /** The node of the target accepted no connection. */
    UNREACHABLE,

    /** This node cancelled the attempt, for example the slower of two hedged attempts. The duration is a lower bound of the latency. */
    CANCELLED,
}
