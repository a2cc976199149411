package dev.lycheehill.standins.backend

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.util.ReferenceCountUtil
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

class BackendCrashTest {
    /** Guards against a crash in which a node that sees the end of its call still finds the server accepting. */
    @Test
    fun `a caller that sees its connection end finds no server that accepts another`() {
        expectThat(roundsAccepted(ROUNDS, group = null)).describedAs("rounds in which the crashed server accepted a connection").isEmpty()
    }

    /** Guards against connections that are closed before the listener, when the machine is busy at that moment. */
    @Test
    fun `a crash on a busy event loop closes the listener first, too`() {
        val group = BackendStandIn.newEventLoopGroup()
        val busy =
            ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel::class.java)
                .childHandler(SlowReader())
                .bind(InetAddress.getLoopbackAddress(), 0)
                .sync()
                .channel()
        val writer = Socket(InetAddress.getLoopbackAddress(), (busy.localAddress() as InetSocketAddress).port)
        val writing = thread { runCatching { while (true) writer.getOutputStream().write(0) } }
        val accepted = roundsAccepted(BUSY_ROUNDS, group)
        writer.close()
        writing.join()
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
        expectThat(accepted).describedAs("rounds in which the crashed server accepted a connection").isEmpty()
    }

    @ChannelHandler.Sharable
    private class SlowReader : ChannelInboundHandlerAdapter() {
        override fun channelRead(
            ctx: ChannelHandlerContext,
            msg: Any,
        ) {
            ReferenceCountUtil.release(msg)
            Thread.sleep(SLOW_READ_MS)
        }
    }

    private fun roundsAccepted(
        rounds: Int,
        group: EventLoopGroup?,
    ): List<Int> =
        (1..rounds).filter {
            BackendStandIn(group = group).use { server ->
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
        const val BUSY_ROUNDS = 100
        const val SLOW_READ_MS = 3L
        const val CRASH = "GET /x HTTP/1.1\r\nHost: h\r\n${BackendHeaders.MARK}: crash\r\n${BackendHeaders.REQUEST_KEY}: k\r\n\r\n"
    }
}
