package dev.lycheehill.node

import dev.lycheehill.node.http.CallHandler
import dev.lycheehill.node.http.CallerConnection
import dev.lycheehill.node.http.ConnectionSet
import dev.lycheehill.node.http.RequestTimeoutHandler
import dev.lycheehill.node.http.StrictRequestDecoder
import dev.lycheehill.node.loop.Transport
import dev.lycheehill.node.metrics.NodeMetrics
import dev.lycheehill.node.settings.HostPort
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.WriteBufferWaterMark
import io.netty.handler.codec.http.HttpResponseEncoder
import java.net.InetSocketAddress

/** An HTTP/1.1 listener of a node. The calls are served by [handler] on the event loops of [group]. */
internal class HttpListener(
    private val settings: DataPathSettings,
    private val transport: Transport,
    private val group: EventLoopGroup,
    private val handler: CallHandler,
    private val metrics: NodeMetrics,
) {
    private val connections = ConnectionSet()
    private lateinit var channel: Channel

    /** Address that the listener is bound to. */
    val address: InetSocketAddress get() = channel.localAddress() as InetSocketAddress

    /** Whether no connection is open. */
    val isIdle: Boolean get() = connections.isEmpty

    /** Binds [bindAddress] and starts to accept connections. */
    fun start(bindAddress: HostPort) {
        channel =
            ServerBootstrap()
                .group(group)
                .channelFactory(transport.serverChannelFactory)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childHandler(initializer())
                .bind(bindAddress.host, bindAddress.port)
                .sync()
                .channel()
    }

    /** Stops accepting connections and closes each open one as soon as it carries no call. */
    fun closeWhenIdle() {
        channel.close()
        connections.closeWhenIdle()
    }

    /** Closes the listener and all connections at once. */
    fun closeNow() {
        channel.close()
        connections.closeNow()
    }

    private fun initializer() =
        object : ChannelInitializer<Channel>() {
            override fun isSharable(): Boolean = true

            override fun initChannel(child: Channel) {
                if (connections.size >= settings.maxConnections) {
                    child.close()
                    return
                }
                val timeouts = RequestTimeoutHandler(settings)
                child.pipeline().addLast(
                    timeouts,
                    StrictRequestDecoder(settings),
                    HttpResponseEncoder(),
                    CallerConnection(settings, timeouts, connections, handler, metrics),
                )
            }
        }

    private companion object {
        const val BACKLOG = 1_024
        val WATER_MARK = WriteBufferWaterMark(32 * 1024, 64 * 1024)
    }
}
