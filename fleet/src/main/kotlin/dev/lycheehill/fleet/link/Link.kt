package dev.lycheehill.fleet.link

import dev.lycheehill.fleet.message.PeerMessage

/** Carries messages between nodes. Messages may be lost, delayed, repeated or reordered. */
interface Link : AutoCloseable {
    /** Address that peers use to reach this node. */
    val address: PeerAddress

    /** Traffic of this link. */
    val counters: LinkCounters

    /** Starts to receive; calls [onMessage] on any thread for each message. */
    fun start(onMessage: (from: PeerAddress, message: PeerMessage) -> Unit)

    /** Queues [message] without blocking. Returns false when it was certainly not sent. */
    fun send(
        peer: PeerAddress,
        message: PeerMessage,
    ): Boolean

    /** Drops the cached connection to [peer], so that the next message opens a new one. */
    fun reset(peer: PeerAddress)
}
