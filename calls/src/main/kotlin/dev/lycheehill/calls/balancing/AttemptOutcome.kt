package dev.lycheehill.calls.balancing

/** Outcome of an attempt, in the categories that the pickers distinguish. */
enum class AttemptOutcome {
    /** A usable response arrived. */
    SUCCESS,

    /** The node of the target refused the call because of load or a drain. The target is not faulty. */
    SHED,

    /** The connection was reset or stalled, a time limit was exceeded, or the response was a server error. */
    FAILURE,

    /** The node of the target accepted no connection. */
    UNREACHABLE,

    /**
     * This node cancelled the attempt, for example the slower of two hedged attempts. The time until the cancellation is a lower bound of
     * the latency that the attempt would have had.
     */
    CANCELLED,
}
