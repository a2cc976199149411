package dev.lycheehill.fleet.link

import java.util.concurrent.atomic.AtomicLong

/** Traffic counters of one link, including frame headers. Counters never decrease and may be read by any thread. */
class LinkCounters {
    val messagesSent = AtomicLong()
    val bytesSent = AtomicLong()
    val messagesReceived = AtomicLong()
    val bytesReceived = AtomicLong()

    /** Messages dropped because the message was too long, a queue was full or a connection failed. */
    val messagesDropped = AtomicLong()

    /** Received frames refused because of an invalid length or an invalid message. */
    val framesRefused = AtomicLong()

    /** Connections opened by this node. */
    val connectionsOpened = AtomicLong()

    /** Connections refused because the TLS handshake failed, usually because the peer has no certificate of the fleet. */
    val peersRefused = AtomicLong()

    internal fun sent(bytes: Int) {
        messagesSent.incrementAndGet()
        bytesSent.addAndGet(bytes.toLong())
    }

    internal fun received(bytes: Int) {
        messagesReceived.incrementAndGet()
        bytesReceived.addAndGet(bytes.toLong())
    }
}
