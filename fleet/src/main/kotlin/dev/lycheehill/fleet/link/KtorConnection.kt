package dev.lycheehill.fleet.link

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel

/** Connection of a [KtorLink] with a bounded queue of encoded messages. */
internal class KtorConnection(
    queueMessages: Int,
    nowNanos: Long,
) {
    /** Address of the peer; null on an accepted connection until the first message arrives. */
    @Volatile
    var peer: PeerAddress? = null

    /** Time at which the last message was received, or the connection was created. */
    @Volatile
    var receivedAtNanos: Long = nowNanos

    private val queue = Channel<ByteArray>(queueMessages)

    @Volatile
    private var socket: Socket? = null

    @Volatile
    private var closed = false

    /** Queues [frame] and returns whether there was room. */
    fun offer(frame: ByteArray): Boolean = queue.trySend(frame).isSuccess

    /** Sets the socket, which [close] closes. */
    fun attach(opened: Socket) {
        socket = opened
        if (closed) opened.close()
    }

    /** Writes queued messages until the connection is closed. */
    @OptIn(ExperimentalCoroutinesApi::class)
    suspend fun write(
        opened: Socket,
        onSent: (Int) -> Unit,
    ) {
        val channel = opened.openWriteChannel(autoFlush = false)
        for (frame in queue) {
            channel.writeInt(frame.size)
            channel.writeFully(frame)
            onSent(frame.size + HEADER_BYTES)
            if (queue.isEmpty) channel.flush()
        }
    }

    /** Reads frames until the connection is closed. Returns false when a frame has an invalid length or [onFrame] refuses the frame. */
    suspend fun read(
        opened: Socket,
        maxFrameBytes: Int,
        onFrame: (ByteArray) -> Boolean,
    ): Boolean {
        val channel = opened.openReadChannel()
        while (!closed) {
            val size = channel.readInt()
            if (size !in 1..maxFrameBytes) return false
            if (!onFrame(channel.readByteArray(size))) return false
        }
        return true
    }

    /** Closes the connection and returns the number of messages that were still queued. */
    fun close(): Int {
        closed = true
        queue.close()
        var dropped = 0
        while (queue.tryReceive().isSuccess) dropped++
        socket?.close()
        return dropped
    }

    companion object {
        /** Size in bytes of the frame header, which contains the length of the message. */
        const val HEADER_BYTES = 4
    }
}
