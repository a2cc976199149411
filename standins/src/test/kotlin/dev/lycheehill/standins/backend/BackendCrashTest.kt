package dev.lycheehill.standins.backend

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketException

class BackendCrashTest {
    /** Guards against a crash in which a node that sees the end of its call still finds the server accepting. */
    @Test
    fun `a caller that sees its connection end finds no server that accepts another`() {
        val accepted =
            (1..ROUNDS).filter {
                BackendStandIn().use { server ->
                    server.start()
                    val address = InetSocketAddress("127.0.0.1", server.address.substringAfter(':').toInt())
                    Socket().use { socket ->
                        socket.connect(address)
                        socket.getOutputStream().write(CRASH.encodeToByteArray())
                        awaitEnd(socket)
                    }
                    accepts(address)
                }
            }
        expectThat(accepted).describedAs("rounds in which the crashed server accepted a connection").isEmpty()
    }

    private fun awaitEnd(socket: Socket) {
        try {
            while (socket.getInputStream().read() >= 0) Unit
        } catch (_: SocketException) {
            // A reset is an end, too.
        }
    }

    private fun accepts(address: InetSocketAddress): Boolean =
        try {
            Socket().use { it.connect(address) }
            true
        } catch (_: SocketException) {
            false
        }

    private companion object {
        const val ROUNDS = 500
        const val CRASH = "GET /x HTTP/1.1\r\nHost: h\r\n${BackendHeaders.MARK}: crash\r\n${BackendHeaders.REQUEST_KEY}: k\r\n\r\n"
    }
}
