package dev.lycheehill.node.upstream

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelFuture
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpRequest
import java.net.SocketAddress

/** Pool of the connections from one event loop to one peer. Confined to this event loop. */
internal class ConnectionPool(
    private val eventLoop: EventLoop,
    private val address: SocketAddress,
    private val bootstrap: Bootstrap,
    private val maxIdleNanos: Long,
    private val maxConnections: Int,
) {
    private val idleConnections = ArrayDeque<UpstreamConnection>()
    private var openCount = 0

    var lastUsedNanos: Long = System.nanoTime()
        private set

    /** Sends a request and reports its response to [listener]. Takes over the reference to [body]. */
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
            openCount >= maxConnections -> failLater(exchange, ExchangeFailure.Kind.TOO_MANY_CONNECTIONS)
            else -> connect(exchange)
        }
        return exchange
    }

    /** Opens and closes a connection to the peer. Tells [listener] whether the peer accepted the connection. */
    fun probe(listener: (Boolean) -> Unit) {
        bootstrap.connect(address).addListener { result ->
            if (result.isSuccess) (result as ChannelFuture).channel().close()
            listener(result.isSuccess)
        }
    }

    /** Adds an idle connection to the pool. */
    fun release(connection: UpstreamConnection) {
        idleConnections.addLast(connection)
    }

    /** Removes a closed connection from the pool. */
    fun onConnectionClosed(connection: UpstreamConnection) {
        openCount--
        idleConnections.remove(connection)
    }

    /**
     * Closes the idle connections that were last used before [nanos], a value of [System.nanoTime]. After one connection to the
     * peer fell silent, these may be dead as well.
     */
    fun closeIdleLastUsedBefore(nanos: Long) {
        idleConnections.filter { it.idleSinceNanos - nanos < 0 }.forEach { it.close() }
    }

    /** Closes the idle connections that have been unused for too long to be reused. */
    fun closeExpired() {
        val now = System.nanoTime()
        idleConnections.filter { now - it.idleSinceNanos > maxIdleNanos }.forEach { it.close() }
    }

    // Takes the most recently used connection first, so that surplus connections expire.
    private fun takeIdle(): UpstreamConnection? {
        val now = System.nanoTime()
        while (true) {
            val connection = idleConnections.removeLastOrNull() ?: return null
            if (connection.isUsable && now - connection.idleSinceNanos <= maxIdleNanos) return connection
            connection.close()
        }
    }

    private fun connect(exchange: Exchange) {
        openCount++
        val future = bootstrap.connect(address)
        // The exchange must be returned from send before its first event, so a completed future is handled in a later task.
        if (future.isDone) eventLoop.execute { onConnected(future, exchange) } else future.addListener { onConnected(future, exchange) }
    }

    private fun onConnected(
        future: ChannelFuture,
        exchange: Exchange,
    ) {
        // A handler that is added after the channel was closed gets no channelInactive event, so the connection would stay counted
        // as open.
        if (!future.isSuccess || !future.channel().isActive) {
            openCount--
            exchange.fail(sent = false, kind = ExchangeFailure.Kind.CONNECT)
            return
        }
        val pipeline = future.channel().pipeline()
        val connection = UpstreamConnection(this, pipeline.get(ResponseDecoder::class.java))
        pipeline.addLast(connection)
        if (exchange.isDone) connection.becomeIdle() else connection.start(exchange)
    }

    private fun failLater(
        exchange: Exchange,
        kind: ExchangeFailure.Kind,
    ) {
        eventLoop.execute { exchange.fail(sent = false, kind = kind) }
    }
}
