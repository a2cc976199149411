package dev.lycheehill.fleet.messenger

import arrow.core.Either
import java.util.concurrent.CompletableFuture

/** Messages of other modules between nodes: small facts for all nodes, and requests to one node. */
interface FleetMessenger {
    /**
     * Gossips [bytes] to all nodes, this one included, until it expires. Delivery is likely, not certain, and at most
     * once per node and broadcast. Returns false when [bytes] is longer than [MAX_BROADCAST_BYTES].
     */
    fun broadcast(
        topic: String,
        bytes: ByteArray,
        expiresInMs: Long = 60_000,
    ): Boolean

    /** Calls [handler] on the control thread for each broadcast of [topic]. The handler must not block. */
    fun onBroadcast(
        topic: String,
        handler: (ByteArray) -> Unit,
    )

    /** Sends [bytes] to one node and completes with its response, or with an error after [timeoutMs]. */
    fun request(
        nodeId: String,
        topic: String,
        bytes: ByteArray,
        timeoutMs: Long = 1_000,
    ): CompletableFuture<Either<MessengerError, ByteArray>>

    /** Answers requests of [topic] with the result of [handler], which runs on the control thread and must not block. */
    fun onRequest(
        topic: String,
        handler: (nodeId: String, bytes: ByteArray) -> ByteArray?,
    )

    companion object {
        /** Longest fact that [broadcast] accepts. */
        const val MAX_BROADCAST_BYTES = 4_096
    }
}
