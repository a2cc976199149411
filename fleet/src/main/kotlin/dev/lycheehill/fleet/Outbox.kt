package dev.lycheehill.fleet

import dev.lycheehill.fleet.link.PeerAddress
import dev.lycheehill.fleet.message.PeerMessage

/** Takes the messages that a state machine wants to send. Delivery is not guaranteed. */
fun interface Outbox {
    /** Hands over [message] for [peer]. */
    fun send(
        peer: PeerAddress,
        message: PeerMessage,
    )
}
