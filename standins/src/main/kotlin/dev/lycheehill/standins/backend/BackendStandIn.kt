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
 * HTTP server that stands in for a backend server.
 *
 * The server simulates a limited number of slots, service times, draining, a cold start, load shedding, deadlines, a delayed
 * load report and injected faults. Closing a connection cancels its calls.
 *
 * @property runs counts the runs by request key.
 * @param group NIO event loops to share with other stand-ins; null creates an event loop for this server alone.
 */
class BackendStandIn(
    private val settings: BackendSettings = BackendSettings(),
    val runs: RunCounter = RunCounter(),
    group: EventLoopGroup? = null,
) : AutoCloseable {
    private val ownEventLoopGroup = if (group == null) newEventLoopGroup() else null
    private val eventLoop: EventLoop = (group ?: ownEventLoopGroup!!).next()
    private val executor = BackendCallExecutor(settings, runs, eventLoop, ::crash)
    private var port = settings.port

    @Volatile
    private var channel: Channel? = null

    /** Address of the server as `ip:port`. */
    val address: String get() = "${settings.host}:$port"

    /** Number of calls that currently run. */
    val running: Int get() = executor.running

    /** Number of running calls as the server reports it, with a delay of [BackendSettings.loadLagMs]. */
    val reportedInFlight: Int get() = executor.reportedInFlight

    /** Fault that is injected into the responses from now on. */
    var fault: BackendFault by executor::fault

    /** Factor on the service times of all calls that start from now on. */
    var slowFactor: Double by executor::slowFactor

    /** Whether the server refuses new calls with status 503. */
    var isDraining: Boolean by executor::isDraining

    /** Whether the server accepts connections. */
    val isUp: Boolean get() = channel?.isOpen == true

    /** Starts the server, or restarts it on the same port after a crash. Returns this server. */
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

    /**
     * Simulates a crash: closes the listening socket and then all connections.
     *
     * The order guarantees that a peer which has seen its connection close cannot open a new connection.
     */
    fun crash() {
        val closed = channel?.close()
        if (closed == null) eventLoop.execute(executor::closeConnections) else closed.addListener { closeConnectionsLater() }
    }

    // The operating system accepts connections for a closed listening socket until the event loop has run its next select. On a
    // busy event loop the first delay can expire before that select. The second delay starts in a task of the event loop, which
    // runs a select before the next tasks.
    private fun closeConnectionsLater() {
        eventLoop.schedule(
            { eventLoop.schedule(executor::closeConnections, SELECTION_MS, TimeUnit.MILLISECONDS) },
            SELECTION_MS,
            TimeUnit.MILLISECONDS,
        )
    }

    override fun close() {
        crash()
        ownEventLoopGroup?.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun initializer() =
        object : ChannelInitializer<Channel>() {
            override fun initChannel(child: Channel) {
                child.pipeline().addLast(HttpServerCodec(), HttpObjectAggregator(MAX_BODY_BYTES), BackendHandler(executor))
            }
        }

    /** Creates event loops for stand-ins. */
    companion object {
        private const val BACKLOG = 1_024
        private const val SELECTION_MS = 1L
        private const val MAX_BODY_BYTES = 16 * 1024 * 1024

        /** Returns a group of [threads] event loops that several stand-ins can share. */
        fun newEventLoopGroup(threads: Int = 1): EventLoopGroup =
            MultiThreadIoEventLoopGroup(threads, DefaultThreadFactory("backend-stand-in", true), NioIoHandler.newFactory())
    }
}
