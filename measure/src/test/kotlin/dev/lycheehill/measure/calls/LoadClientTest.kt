package dev.lycheehill.measure.calls

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.Callable
import java.util.concurrent.TimeUnit

class LoadClientTest {
    private val eventLoops = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    @AfterEach
    fun close() {
        eventLoops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    /** Guards against a measurement that counts a malformed or interrupted response as a success. */
    @ParameterizedTest
    @CsvSource(
        "HTTP/1.1 200 OK~Content-Length: 2~~ab, 1",
        "HTTP/1.1 200 OK~~ab, 1",
        "HTTP/1.1 0200 Long~Content-Length: 2~~ab, 0",
        "HTTP/1.1 200 OK~X Blank: 1~Content-Length: 2~~ab, 0",
        "HTTP/1.1 200 OK~X-Blank : 1~Content-Length: 2~~ab, 0",
        "HTTP/1.1 200 OK~Content-Length: 3~~ab, 0",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2~ab~0~X : 1~~, 0",
    )
    fun `only a well-formed and complete response succeeds`(
        response: String,
        succeeded: Int,
    ) {
        val eventLoop = eventLoops.next()
        val tally = LoadTally()
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            val client = LoadClient(eventLoop, InetSocketAddress(server.inetAddress, server.localPort))
            eventLoop.submit { client.send(CallKind("any", "/"), System.nanoTime(), tally) }.get()
            server.accept().use { socket ->
                socket.getInputStream().read(ByteArray(4_096))
                socket.getOutputStream().write(response.replace("~", "\r\n").encodeToByteArray())
                socket.shutdownOutput()
                val endNanos = System.nanoTime() + TIMEOUT_NANOS
                while (eventLoop.submit(Callable { outcome(tally) }).get() == listOf(1, 0, 0) &&
                    System.nanoTime() < endNanos
                ) {
                    Thread.sleep(2)
                }
            }
        }
        expectThat(eventLoop.submit(Callable { outcome(tally) }).get()) isEqualTo listOf(1, succeeded, 1 - succeeded)
    }

    private fun outcome(tally: LoadTally) = listOf(tally.due, tally.succeeded, tally.disconnected)

    private companion object {
        const val TIMEOUT_NANOS = 5_000_000_000
    }
}
