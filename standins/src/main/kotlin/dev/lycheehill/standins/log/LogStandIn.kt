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

/** HTTP server with the protocol of the platform's log. Keeps its records in memory. */
class LogStandIn(
    private val host: String = "127.0.0.1",
    private val port: Int = 0,
    /** Holds the records. */
    val store: LogStore = LogStore(),
) : AutoCloseable {
    private val service = LogServerState(store)
    private val eventLoops = MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory())
    private val channels = DefaultChannelGroup(GlobalEventExecutor.INSTANCE)
    private var address: InetSocketAddress? = null

    /** Current faults; also set by `PUT /v1/faults`. */
    var faults: LogFaults by service::faults

    /** Address of the started server. */
    val baseUri: URI get() = URI.create("http://$host:${checkNotNull(address) { "not started" }.port}")

    /** Binds the server. Port 0 means any free port. */
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

    /** Closes the server and all its connections. */
    override fun close() {
        channels.close().awaitUninterruptibly()
        eventLoops.shutdownGracefully(0, SHUTDOWN_MS, TimeUnit.MILLISECONDS).awaitUninterruptibly()
    }

    private fun initializer() =
        object : ChannelInitializer<SocketChannel>() {
            override fun initChannel(channel: SocketChannel) {
                channels.add(channel)
                channel.pipeline().addLast(HttpServerCodec(), HttpObjectAggregator(MAX_RECORD_BYTES), LogRequestHandler(service))
            }
        }

    private companion object {
        const val EVENT_LOOPS = 2
        const val MAX_RECORD_BYTES = 1024 * 1024
        const val SHUTDOWN_MS = 1_000L
    }
}
