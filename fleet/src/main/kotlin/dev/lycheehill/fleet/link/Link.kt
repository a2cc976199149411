package dev.lycheehill.fleet.link

import dev.lycheehill.fleet.message.PeerMessage

/** Transport for messages between nodes. Messages may be lost, delayed, duplicated or reordered. */
interface Link : AutoCloseable {
    /** Address at which peers reach this node. */
    val address: PeerAddress

    /** Traffic counters of this link. */
    val counters: LinkCounters

    /** Starts to receive messages. [onMessage] is called for each message, on any thread. */
    fun start(onMessage: (from: PeerAddress, message: PeerMessage) -> Unit)

    /** Queues [message] without blocking. Returns false when the message will certainly not be sent. */
    fun send(
        peer: PeerAddress,
        message: PeerMessage,
    ): Boolean

    /** Closes the cached connection to [peer], so that the next message opens a new connection. */
    fun reset(peer: PeerAddress)
}
