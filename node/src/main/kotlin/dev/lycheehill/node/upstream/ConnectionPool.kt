package dev.lycheehill.node.upstream

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelFuture
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpRequest
import java.net.SocketAddress

/** Connections from one event loop to one peer. Used on that event loop only. */
internal class ConnectionPool(
    private val eventLoop: EventLoop,
    private val address: SocketAddress,
    private val bootstrap: Bootstrap,
    private val idleReuseNanos: Long,
    private val maxConnections: Int,
) {
    private val idle = ArrayDeque<UpstreamConnection>()
    private var open = 0

    var lastUsedNanos: Long = System.nanoTime()
        private set

    /** Sends [head] and [body] (whose reference is taken over) and reports the response to [listener]. */
    fun send(
        head: HttpRequest,
        body: ByteBuf,
        progressLimitMs: Long,
        listener: ExchangeListener,
    ): Exchange {
        val exchange = Exchange(head, body, progressLimitMs, eventLoop, this, listener)
        lastUsedNanos = System.nanoTime()
        val connection = takeIdle()
        when {
            connection != null -> connection.start(exchange)
            open >= maxConnections -> failLater(exchange, ExchangeFailure.Kind.TOO_MANY_CONNECTIONS)
            else -> connect(exchange)
        }
        return exchange
    }

    /** Tells [listener] whether the peer accepts a new connection. */
    fun probe(listener: (Boolean) -> Unit) {
        bootstrap.connect(address).addListener { result ->
            if (result.isSuccess) (result as ChannelFuture).channel().close()
            listener(result.isSuccess)
        }
    }

    fun release(connection: UpstreamConnection) {
        idle.addLast(connection)
    }

    fun removed(connection: UpstreamConnection) {
        open--
        idle.remove(connection)
    }

    /** Closes the idle connections that carried nothing after [nanos]; they may be as silent as the one found so. */
    fun closeIdleUnusedSince(nanos: Long) {
        idle.filter { it.idleSinceNanos - nanos < 0 }.forEach { it.close() }
    }

    /** Closes the idle connections that are too old to be used again. */
    fun closeExpired() {
        val now = System.nanoTime()
        idle.filter { now - it.idleSinceNanos > idleReuseNanos }.forEach { it.close() }
    }

    // The most recently used connection comes first, so that surplus ones expire.
    private fun takeIdle(): UpstreamConnection? {
        val now = System.nanoTime()
        while (true) {
            val connection = idle.removeLastOrNull() ?: return null
            if (connection.isUsable && now - connection.idleSinceNanos <= idleReuseNanos) return connection
            connection.close()
        }
    }

    private fun connect(exchange: Exchange) {
        open++
        val future = bootstrap.connect(address)
        // The caller of send gets its exchange before the first event.
        if (future.isDone) eventLoop.execute { connected(future, exchange) } else future.addListener { connected(future, exchange) }
    }

    private fun connected(
        future: ChannelFuture,
        exchange: Exchange,
    ) {
        // A channel that was closed before the handler is added reports no end to it, and would stay counted as open.
        if (!future.isSuccess || !future.channel().isActive) {
            open--
            exchange.failed(sent = false, kind = ExchangeFailure.Kind.CONNECT)
            return
        }
        val connection = UpstreamConnection(this)
        future.channel().pipeline().addLast(connection)
        if (exchange.isDone) connection.becomeIdle() else connection.start(exchange)
    }

    private fun failLater(
        exchange: Exchange,
        kind: ExchangeFailure.Kind,
    ) {
        eventLoop.execute { exchange.failed(sent = false, kind = kind) }
    }
}
