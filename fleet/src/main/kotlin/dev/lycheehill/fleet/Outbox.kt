package dev.lycheehill.fleet

import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.message.PeerMessage

/** Sink for the outgoing messages of a state machine. Delivery is not guaranteed. */
fun interface Outbox {
    /** Sends [message] to [peer]. */
    fun send(
        peer: PeerAddress,
        message: PeerMessage,
    )
}
