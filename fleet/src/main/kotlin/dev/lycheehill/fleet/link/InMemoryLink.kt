package dev.lycheehill.fleet.link

import dev.lycheehill.fleet.message.MessageCodec
import dev.lycheehill.fleet.message.PeerMessage

/** [Link] over an [InMemoryNetwork]. */
internal class InMemoryLink(
    private val network: InMemoryNetwork,
    override val address: PeerAddress,
) : Link {
    override val counters = LinkCounters()
    private var onMessage: ((PeerAddress, PeerMessage) -> Unit)? = null

    override fun start(onMessage: (from: PeerAddress, message: PeerMessage) -> Unit) {
        this.onMessage = onMessage
    }

    override fun send(
        peer: PeerAddress,
        message: PeerMessage,
    ): Boolean = onMessage != null && network.deliver(address, peer, message)

    override fun reset(peer: PeerAddress) = Unit

    override fun close() {
        onMessage = null
        network.remove(this)
    }

    fun receive(
        from: PeerAddress,
        bytes: ByteArray,
    ) {
        val handler = onMessage ?: return
        counters.received(bytes.size)
        MessageCodec.decode(bytes).fold({ counters.framesRefused.incrementAndGet() }, { handler(from, it) })
    }
}
