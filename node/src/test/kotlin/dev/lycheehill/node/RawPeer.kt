package dev.lycheehill.node

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Peer that reads the head of each request and lets [respond] write to its socket, which is closed afterwards. */
class RawPeer(
    private val respond: (socket: Socket, requestHead: List<String>) -> Unit,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = ConcurrentLinkedQueue<Socket>()

    val requestCount = AtomicInteger()
    val address: String get() = "127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true) {
            while (!server.isClosed) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                sockets.add(socket)
                thread(isDaemon = true) { socket.use(::serve) }
            }
        }
    }

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
    }

    private fun serve(socket: Socket) {
        val input = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        val head = generateSequence { input.readLine() }.takeWhile { it.isNotEmpty() }.toList()
        if (head.isEmpty()) return
        requestCount.incrementAndGet()
        respond(socket, head)
    }

    private companion object {
        const val BACKLOG = 50
    }
}
