package dev.lycheehill.measure.calls

import dev.lycheehill.http.StrictResponseDecoder
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpVersion
import java.net.InetSocketAddress

/** HTTP client of the load generator, with one call at a time per connection. Must be used on [eventLoop] only. */
internal class LoadClient(
    private val eventLoop: EventLoop,
    private val address: InetSocketAddress,
) {
    private val idleConnections = ArrayDeque<Connection>()
    private val openChannels = HashSet<Channel>()

    private val bootstrap =
        Bootstrap()
            .group(eventLoop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)

    /** Sends a call that was due at [dueNanos] and counts its outcome in [tally], unless [tally] is null. */
    fun send(
        kind: CallKind,
        dueNanos: Long,
        tally: LoadTally?,
    ) {
        tally?.recordDue()
        val connection = idleConnections.removeLastOrNull()
        if (connection != null) connection.start(kind, dueNanos, tally) else connect(kind, dueNanos, tally)
    }

    fun close() = openChannels.toList().forEach { it.close() }

    private fun connect(
        kind: CallKind,
        dueNanos: Long,
        tally: LoadTally?,
    ) {
        val connection = Connection()
        val future = bootstrap.clone().handler(Initializer(connection)).connect(address)
        future.addListener {
            if (it.isSuccess) {
                openChannels.add(future.channel())
                connection.start(kind, dueNanos, tally)
            } else {
                tally?.recordDisconnect()
            }
        }
    }

    private inner class Initializer(
        private val connection: Connection,
    ) : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channel
                .pipeline()
                .addLast(HttpRequestEncoder(), StrictResponseDecoder(), HttpObjectAggregator(MAX_RESPONSE_BYTES), connection)
        }
    }

    private inner class Connection : SimpleChannelInboundHandler<FullHttpResponse>() {
        private lateinit var ctx: ChannelHandlerContext
        private var isBusy = false
        private var dueNanos = 0L
        private var tally: LoadTally? = null

        override fun handlerAdded(ctx: ChannelHandlerContext) {
            this.ctx = ctx
        }

        fun start(
            kind: CallKind,
            dueNanos: Long,
            tally: LoadTally?,
        ) {
            isBusy = true
            this.dueNanos = dueNanos
            this.tally = tally
            val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(kind.method), kind.path)
            request.headers().set(HttpHeaderNames.HOST, "mesh")
            kind.headers.forEach { (name, value) -> request.headers().set(name, value) }
            ctx.writeAndFlush(request)
        }

        override fun channelRead0(
            ctx: ChannelHandlerContext,
            msg: FullHttpResponse,
        ) {
            if (msg.decoderResult().isFailure) {
                ctx.close()
                return
            }
            isBusy = false
            tally?.recordResponse(msg.status().code(), System.nanoTime() - dueNanos)
            idleConnections.addLast(this)
        }

        override fun channelInactive(ctx: ChannelHandlerContext) {
            openChannels.remove(ctx.channel())
            idleConnections.remove(this)
            if (isBusy) tally?.recordDisconnect()
        }

        override fun exceptionCaught(
            ctx: ChannelHandlerContext,
            cause: Throwable,
        ) {
            ctx.close()
        }
    }

    private companion object {
        const val MAX_RESPONSE_BYTES = 16 * 1024 * 1024
    }
}
