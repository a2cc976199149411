package dev.lycheehill.fleet.link

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import java.util.concurrent.atomic.AtomicInteger

/** Connection of a [TlsLink]. Messages wait in a bounded queue until the TLS handshake is complete. */
internal class TlsConnection(
    private val queueMessages: Int,
    private val counters: LinkCounters,
    nowNanos: Long,
) {
    /** Address of the peer; null on an accepted connection until the first message arrives. */
    @Volatile
    var peer: PeerAddress? = null

    /** Time at which the last message was received, or the connection was created. */
    @Volatile
    var receivedAtNanos: Long = nowNanos

    private val queuedFrames = ArrayDeque<ByteArray>()
    private val pendingWrites = AtomicInteger()
    private var readyChannel: Channel? = null
    private var closed = false
    private var channel: Channel? = null

    /** Sets the channel, which [close] closes. */
    @Synchronized
    fun attach(opened: Channel) {
        channel = opened
        if (closed) opened.close()
    }

    /** Sends the messages that were queued until the end of the TLS handshake. */
    @Synchronized
    fun onReady(opened: Channel) {
        readyChannel = opened
        while (queuedFrames.isNotEmpty()) write(opened, queuedFrames.removeFirst())
    }

    /** Sends or queues [frame]; returns false when the connection is closed or the queue is full. */
    @Synchronized
    fun offer(frame: ByteArray): Boolean {
        if (closed || pendingWrites.get() + queuedFrames.size >= queueMessages) return false
        val open = readyChannel
        if (open == null) queuedFrames.addLast(frame) else write(open, frame)
        return true
    }

    /** Closes the connection and returns the number of messages that were still queued. */
    @Synchronized
    fun close(): Int {
        closed = true
        channel?.close()
        return queuedFrames.size.also { queuedFrames.clear() }
    }

    private fun write(
        open: Channel,
        frame: ByteArray,
    ) {
        pendingWrites.incrementAndGet()
        open.writeAndFlush(Unpooled.wrappedBuffer(frame)).addListener {
            pendingWrites.decrementAndGet()
            if (it.isSuccess) counters.sent(frame.size + HEADER_BYTES) else counters.messagesDropped.incrementAndGet()
        }
    }

    companion object {
        /** Size in bytes of the frame header, which contains the length of the message. */
        const val HEADER_BYTES = 4
    }
}
