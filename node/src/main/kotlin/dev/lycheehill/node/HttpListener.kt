package dev.lycheehill.node

import dev.lycheehill.node.http.CallHandler
import dev.lycheehill.node.http.CallerConnection
import dev.lycheehill.node.http.ConnectionObserver
import dev.lycheehill.node.http.ConnectionSet
import dev.lycheehill.node.http.OpenWork
import dev.lycheehill.node.http.RequestTimeoutHandler
import dev.lycheehill.node.http.StrictRequestDecoder
import dev.lycheehill.node.loop.Transport
import dev.lycheehill.node.metrics.NodeMetrics
import dev.lycheehill.node.settings.HostPort
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.WriteBufferWaterMark
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.util.concurrent.Future
import java.net.InetSocketAddress

/**
 * An HTTP/1.1 listener of a node. [handler] serves the calls on the event loops of [group].
 *
 * Connections beyond [DataPathSettings.maxConnections] are closed as soon as they are accepted.
 *
 * @param observer receives the ends of the connections.
 */
internal class HttpListener(
    private val settings: DataPathSettings,
    private val transport: Transport,
    private val group: EventLoopGroup,
    private val handler: CallHandler,
    private val metrics: NodeMetrics,
    private val observer: ConnectionObserver = ConnectionObserver.None,
) {
    private val connections = ConnectionSet()
    private lateinit var channel: Channel

    /** Address that the listener is bound to. */
    val address: InetSocketAddress get() = channel.localAddress() as InetSocketAddress

    /** Whether the listener has no open connections. */
    val isIdle: Boolean get() = connections.isEmpty

    /** Whether no connection can carry a call or has a part of a response that the operating system has not accepted. */
    val isFlushed: Boolean get() = connections.isFlushed

    /** Time at which a connection last began to linger or received input meanwhile, a value of [System.nanoTime]. */
    val lastLingerNanos: Long get() = connections.lastLingerNanos

    /** Unfinished work of the connections. */
    val openWork: OpenWork get() = connections.openWork()

    /** Binds [bindAddress], waits until it is bound, and starts to accept connections. */
    fun start(bindAddress: HostPort) {
        channel =
            ServerBootstrap()
                .group(group)
                .channelFactory(transport.serverChannelFactory)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, readAllocator())
                .childHandler(channelInitializer())
                .bind(bindAddress.host, bindAddress.port)
                .sync()
                .channel()
    }

    /**
     * Stops accepting connections and closes each open connection as soon as it carries no call. Returns a future that completes when
     * no connection is accepted any more.
     */
    fun closeWhenIdle(): Future<*> {
        val closed = if (::channel.isInitialized) channel.close() else group.next().newSucceededFuture(null)
        connections.closeWhenIdle()
        return closed
    }

    /** Reports the calls without a complete response because the node ends. Returns one future for each connection that has any. */
    fun reportUnanswered(): List<Future<*>> = connections.reportUnanswered()

    /** Closes the listener and all connections immediately. */
    fun closeNow() {
        channel.close()
        connections.closeNow()
    }

    // Reads until no input is left, so that the end of the input is found together with the last request.
    private fun readAllocator() = AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS_PER_EVENT)

    private fun channelInitializer() =
        object : ChannelInitializer<Channel>() {
            override fun isSharable(): Boolean = true

            override fun initChannel(child: Channel) {
                if (connections.size >= settings.maxConnections) {
                    child.close()
                    return
                }
                val timeoutHandler = RequestTimeoutHandler(settings)
                child.pipeline().addLast(
                    timeoutHandler,
                    StrictRequestDecoder(settings),
                    HttpResponseEncoder(),
                    CallerConnection(settings, timeoutHandler, connections, handler, metrics, observer),
                )
            }
        }

    private companion object {
        const val BACKLOG = 1_024
        const val MAX_READS_PER_EVENT = 16
        val WATER_MARK = WriteBufferWaterMark(32 * 1024, 64 * 1024)
    }
}
