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
    /**
     * Guards against a crash that closes connections before the listening socket: a node that sees its call end could then
     * still connect to the crashed server.
     */
    @Test
    fun `a crashed server accepts no connection from a caller whose connection has closed`() {
        expectThat(roundsAccepted(ROUNDS, group = null)).describedAs("rounds in which the crashed server accepted a connection").isEmpty()
    }

    /** Guards against the same fault on an event loop that is busy, where the select after the close of the listening socket is late. */
    @Test
    fun `a crash on a busy event loop also closes the listening socket first`() {
        val group = BackendStandIn.newEventLoopGroup()
        val busyServer =
            ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel::class.java)
                .childHandler(SlowReader())
                .bind(InetAddress.getLoopbackAddress(), 0)
                .sync()
                .channel()
        val writer = Socket(InetAddress.getLoopbackAddress(), (busyServer.localAddress() as InetSocketAddress).port)
        val writerThread = thread { runCatching { while (true) writer.getOutputStream().write(0) } }
        val accepted = roundsAccepted(BUSY_ROUNDS, group)
        writer.close()
        writerThread.join()
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
                    awaitConnectionEnd(socket)
                }
                accepts(address)
            }
        }

    private fun awaitConnectionEnd(socket: Socket) {
        try {
            while (socket.getInputStream().read() >= 0) Unit
        } catch (_: SocketException) {
            // A reset also means that the connection has closed.
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
        const val CRASH = "GET /x HTTP/1.1\r\nHost: h\r\n${BackendHeaders.FAULT}: crash\r\n${BackendHeaders.REQUEST_KEY}: k\r\n\r\n"
    }
}
