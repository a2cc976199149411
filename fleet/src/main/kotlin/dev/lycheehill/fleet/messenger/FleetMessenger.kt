package dev.lycheehill.fleet.messenger

import arrow.core.Either
import java.util.concurrent.CompletableFuture

/** Messenger for communication of other modules between nodes: broadcasts to all nodes and requests to one node. */
interface FleetMessenger {
    /**
     * Gossips [bytes] to all nodes, including this node, for [expiresInMs] milliseconds.
     *
     * A broadcast is delivered at most once per node; delivery is not guaranteed. Returns false when [bytes] is longer than
     * [MAX_BROADCAST_BYTES].
     */
    fun broadcast(
        topic: String,
        bytes: ByteArray,
        expiresInMs: Long = 60_000,
    ): Boolean

    /** Calls [handler] on the control thread for each broadcast of [topic]. It must not block. */
    fun onBroadcast(
        topic: String,
        handler: (ByteArray) -> Unit,
    )

    /** Sends [bytes] to the node [nodeId]. The future completes with the response or with an error, at the latest after [timeoutMs]. */
    fun request(
        nodeId: String,
        topic: String,
        bytes: ByteArray,
        timeoutMs: Long = 1_000,
    ): CompletableFuture<Either<MessengerError, ByteArray>>

    /**
     * Answers requests of [topic] with the result of [handler]; null refuses a request.
     *
     * The handler is called on the control thread and must not block.
     */
    fun onRequest(
        topic: String,
        handler: (nodeId: String, bytes: ByteArray) -> ByteArray?,
    )

    companion object {
        /** Length of the longest message that [broadcast] accepts. */
        const val MAX_BROADCAST_BYTES = 4_096
    }
}
