package dev.lycheehill.calls.balancing

/** How an attempt ended, as far as the choice of targets is concerned. */
enum class AttemptOutcome {
    /** A usable answer arrived. */
    SUCCESS,

    /** The target's node refused the call because of load or a drain; the target is not faulty. */
    SHED,

    /** Connection reset or silent, time limit exceeded, or a server error. */
    FAILURE,

    /** The target's node accepted no connection. */
    UNREACHABLE,

    /** The node closed the attempt, as for a hedge that lost. Its duration is only a lower bound of the latency. */
    CANCELLED,
}
