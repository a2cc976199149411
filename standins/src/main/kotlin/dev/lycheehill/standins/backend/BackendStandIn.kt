package dev.lycheehill.standins.backend

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.util.concurrent.DefaultThreadFactory
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/**
 * HTTP server that stands in for a backend server: slots, service times, drain, cold start, shedding, cancellation by
 * closing the connection, deadlines, a lagging load report and faults by switch.
 *
 * @param runs counts the runs by request key.
 * @param group NIO event loops to share between stand-ins; null means one of its own.
 */
class BackendStandIn(
    private val settings: BackendSettings = BackendSettings(),
    val runs: RunCounter = RunCounter(),
    group: EventLoopGroup? = null,
) : AutoCloseable {
    private val ownGroup = if (group == null) newEventLoopGroup() else null
    private val eventLoop: EventLoop = (group ?: ownGroup!!).next()
    private val work = BackendCallExecutor(settings, runs, eventLoop, ::crash)
    private var port = settings.port

    @Volatile
    private var channel: Channel? = null

    /** Address of the server as `ip:port`. */
    val address: String get() = "${settings.host}:$port"

    /** Calls that run now. */
    val running: Int get() = work.running

    /** Calls in flight as the server reports them, which lags by [BackendSettings.loadLagMs]. */
    val reportedInFlight: Int get() = work.reportedInFlight

    /** Fault of the answers from now on. */
    var fault: BackendFault by work::fault

    /** Factor on all service times from now on. */
    var slowFactor: Double by work::slowFactor

    /** Whether new calls are refused with 503. */
    var isDraining: Boolean by work::isDraining

    /** Whether the server accepts connections. */
    val isUp: Boolean get() = channel?.isOpen == true

    /** Starts the server, or starts it again on the same port after a crash. */
    fun start(): BackendStandIn {
        channel =
            ServerBootstrap()
                .group(eventLoop)
                .channel(NioServerSocketChannel::class.java)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer())
                .bind(settings.host, port)
                .sync()
                .channel()
                .also { port = (it.localAddress() as InetSocketAddress).port }
        return this
    }

    /** Closes the listener and then all connections, so that nobody who saw a connection end is still accepted. */
    fun crash() {
        val closed = channel?.close()
        if (closed == null) eventLoop.execute(work::closeConnections) else closed.addListener { closeConnectionsLater() }
    }

    // The system accepts connections for a closed listener until the event loop has selected once more. On a busy loop the first
    // delay can pass before that; the second one begins among the tasks of the loop, which selects before it runs the next ones.
    private fun closeConnectionsLater() {
        eventLoop.schedule(
            { eventLoop.schedule(work::closeConnections, SELECTION_MS, TimeUnit.MILLISECONDS) },
            SELECTION_MS,
            TimeUnit.MILLISECONDS,
        )
    }

    override fun close() {
        crash()
        ownGroup?.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun initializer() =
        object : ChannelInitializer<Channel>() {
            override fun initChannel(child: Channel) {
                child.pipeline().addLast(HttpServerCodec(), HttpObjectAggregator(MAX_BODY_BYTES), BackendHandler(work))
            }
        }

    /** Constants and event loops shared by stand-ins. */
    companion object {
        private const val BACKLOG = 1_024
        private const val SELECTION_MS = 1L
        private const val MAX_BODY_BYTES = 16 * 1024 * 1024

        /** Returns event loops that several stand-ins can share. */
        fun newEventLoopGroup(threads: Int = 1): EventLoopGroup =
            MultiThreadIoEventLoopGroup(threads, DefaultThreadFactory("backend-stand-in", true), NioIoHandler.newFactory())
    }
}
