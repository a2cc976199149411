package dev.lycheehill.standins.log

import dev.lycheehill.platformlog.memory.LogFaults
import dev.lycheehill.platformlog.memory.LogStore
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.util.concurrent.GlobalEventExecutor
import java.net.InetSocketAddress
import java.net.URI
import java.util.concurrent.TimeUnit

/** HTTP server that stands in for the platform's log. Implements the protocol of the log and keeps the records in memory. */
class LogStandIn(
    private val host: String = "127.0.0.1",
    private val port: Int = 0,
    /** Store of the records. */
    val store: LogStore = LogStore(),
) : AutoCloseable {
    private val serverState = LogServerState(store)
    private val eventLoops = MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory())
    private val channels = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private var address: InetSocketAddress? = null

    /** Faults that the server injects; `PUT /v1/faults` also sets them. */
    var faults: LogFaults by serverState::faults

    /** Base URI of the server. Valid after [start]. */
    val baseUri: URI get() = URI.create("http://$host:${checkNotNull(address) { "not started" }.port}")

    /** Binds the listening socket; port 0 selects any free port. Returns this server. */
    fun start(): LogStandIn {
        val bootstrap =
            ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel::class.java)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer())
        val channel = bootstrap.bind(host, port).sync().channel()
        channels.add(channel)
        address = channel.localAddress() as InetSocketAddress
        return this
    }

    /** Closes the listening socket and all connections. */
    override fun close() {
        channels.close().awaitUninterruptibly()
        eventLoops.shutdownGracefully(0, SHUTDOWN_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly()
    }

    private fun initializer() =
        object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                channels.add(channel)
                channel.pipeline().addLast(HttpServerCodec(), HttpObjectAggregator(MAX_RECORD_BYTES), LogRequestHandler(serverState))
            }
        }

    private companion object {
        const val EVENT_LOOPS = 2
        const val MAX_RECORD_BYTES = 1024 * 1024
        const val SHUTDOWN_MS = 1_000L
    }
}
