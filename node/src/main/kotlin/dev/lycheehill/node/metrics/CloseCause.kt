package dev.lycheehill.node.metrics

/** Cause of the end of a connection that the node accepted. */
enum class CloseCause {
    /** The peer closed the connection. */
    PEER_CLOSED,

    /** Reading or writing failed. */
    CONNECTION_ERROR,

    /** The connection carried no call for the idle timeout. */
    IDLE_TIMEOUT,

    /** The node refused a request as invalid, or because it arrived too slowly. */
    INVALID_REQUEST,

    /** A response that closes the connection was complete. */
    CLOSING_RESPONSE,

    /** A response could not be completed after its beginning had been sent. */
    ABORTED_RESPONSE,

    /** The connection carried no call when the node closed its listeners. */
    STOP,

    /** The peer did not close the connection in time after the node had shut down its output. */
    LINGER_TIMEOUT,

    /** The node ended. */
    NODE_END,
    ;

    /** Name in logs and metrics. */
    val label: String = name.lowercase()
}
