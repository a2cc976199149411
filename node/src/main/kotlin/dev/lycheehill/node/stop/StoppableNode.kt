package dev.lycheehill.node.stop

import io.netty.util.concurrent.Future

/** Operations of a node that a [GracefulStop] needs. */
internal interface StoppableNode {
    /** Begins to refuse new calls to the backend server. Callers of the node are still served. */
    fun drain(): Future<*>

    /**
     * Stops accepting connections and lets each open connection end with its current or next call. Waits at most [timeoutMs]
     * milliseconds for the event loops. Calls in flight may run until then.
     */
    fun closeListeners(timeoutMs: Long)

    /** Waits at most [timeoutMs] milliseconds until the responses to all calls are sent. Returns whether they are. */
    fun awaitResponses(timeoutMs: Long): Boolean

    /** Tells the other nodes that this node has left. */
    fun leave(): Future<*>

    /** Reports the calls that the end of the node cuts off. Returns whether the report is complete. */
    fun reportUnanswered(): Boolean
}
