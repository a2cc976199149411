package dev.lycheehill.fleet.link

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import java.util.concurrent.atomic.AtomicInteger

/** One connection of a [TlsLink]. Messages wait in a bounded queue until the handshake is done. */
internal class TlsConnection(
    private val queueMessages: Int,
    private val counters: LinkCounters,
    nowNanos: Long,
) {
    @Volatile
    var peer: PeerAddress? = null

    @Volatile
    var receivedAtNanos: Long = nowNanos

    private val waiting = ArrayDeque<ByteArray>()
    private val unwritten = AtomicInteger()
    private var ready: Channel? = null
    private var closed = false
    private var channel: Channel? = null

    @Synchronized
    fun attach(opened: Channel) {
        channel = opened
        if (closed) opened.close()
    }

    /** Sends what has waited for the handshake. */
    @Synchronized
    fun onReady(opened: Channel) {
        ready = opened
        while (waiting.isNotEmpty()) write(opened, waiting.removeFirst())
    }

    @Synchronized
    fun offer(frame: ByteArray): Boolean {
        if (closed || unwritten.get() + waiting.size >= queueMessages) return false
        val open = ready
        if (open == null) waiting.addLast(frame) else write(open, frame)
        return true
    }

    /** Closes the connection and returns the number of messages that were still queued. */
    @Synchronized
    fun close(): Int {
        closed = true
        channel?.close()
        return waiting.size.also { waiting.clear() }
    }

    private fun write(
        open: Channel,
        frame: ByteArray,
    ) {
        unwritten.incrementAndGet()
        open.writeAndFlush(Unpooled.wrappedBuffer(frame)).addListener {
            unwritten.decrementAndGet()
            if (it.isSuccess) counters.sent(frame.size + HEADER_BYTES) else counters.messagesDropped.incrementAndGet()
        }
    }

    companion object {
        /** Bytes before each message: its length. */
        const val HEADER_BYTES = 4
    }
}
