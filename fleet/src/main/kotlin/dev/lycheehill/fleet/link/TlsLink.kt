package dev.lycheehill.fleet.link

import dev.lycheehill.fleet.message.MessageCodec
import dev.lycheehill.fleet.message.PeerMessage
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.bootstrap.Bootstrap
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.LengthFieldBasedFrameDecoder
import io.netty.handler.codec.LengthFieldPrepender
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.ssl.ClientAuth
import io.netty.handler.ssl.SslContext
import io.netty.handler.ssl.SslContextBuilder
import io.netty.handler.ssl.SslHandshakeCompletionEvent
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * [Link] over mutual TLS with Netty, in the frame format of [KtorLink]. Ktor sockets do not support TLS for accepted connections.
 *
 * Both sides must present a certificate signed by the certificate authority of the fleet. Host names are not verified, since nodes are
 * known by IP address only.
 */
class TlsLink(
    host: String,
    port: Int = 0,
    tls: TlsSettings,
    private val settings: LinkSettings = LinkSettings(),
    threads: Int = 1,
) : Link {
    override val counters = LinkCounters()

    private val group: EventLoopGroup = MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory())
    private val cachedConnections = ConcurrentHashMap<PeerAddress, TlsConnection>()
    private val openConnections = ConcurrentHashMap.newKeySet<TlsConnection>()
    private val serverTls: SslContext =
        SslContextBuilder
            .forServer(tls.certificate.toFile(), tls.privateKey.toFile())
            .trustManager(tls.authority.toFile())
            .clientAuth(ClientAuth.REQUIRE)
            .build()
    private val clientTls: SslContext =
        SslContextBuilder
            .forClient()
            .keyManager(tls.certificate.toFile(), tls.privateKey.toFile())
            .trustManager(tls.authority.toFile())
            .endpointIdentificationAlgorithm(null)
            .build()

    @Volatile
    private var onMessage: ((PeerAddress, PeerMessage) -> Unit)? = null

    private val server: Channel =
        ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .childHandler(initializer(serverTls) { newConnection() })
            .bind(host, port)
            .syncUninterruptibly()
            .channel()

    override val address = PeerAddress("$host:${(server.localAddress() as InetSocketAddress).port}")
    private val helloFrame = MessageCodec.encode(PeerMessage.Hello(address.text))

    override fun start(onMessage: (from: PeerAddress, message: PeerMessage) -> Unit) {
        this.onMessage = onMessage
        group.scheduleWithFixedDelay(::closeIdle, IDLE_CHECK_MS, IDLE_CHECK_MS, TimeUnit.MILLISECONDS)
    }

    override fun send(
        peer: PeerAddress,
        message: PeerMessage,
    ): Boolean {
        val frame = MessageCodec.encode(message)
        val accepted = frame.size <= settings.maxFrameBytes && !group.isShuttingDown && connectionTo(peer).offer(frame)
        if (!accepted) counters.messagesDropped.incrementAndGet()
        return accepted
    }

    override fun reset(peer: PeerAddress) {
        cachedConnections[peer]?.let(::close)
    }

    override fun close() {
        server.close()
        openConnections.forEach(::close)
        group.shutdownGracefully(0, SHUTDOWN_MS, TimeUnit.MILLISECONDS)
    }

    private fun newConnection() = TlsConnection(settings.queueMessages, counters, System.nanoTime()).also { openConnections += it }

    private fun connectionTo(peer: PeerAddress): TlsConnection {
        cachedConnections[peer]?.let { return it }
        val created = TlsConnection(settings.queueMessages, counters, System.nanoTime())
        val existing = cachedConnections.putIfAbsent(peer, created)
        if (existing != null) return existing
        created.peer = peer
        created.offer(helloFrame)
        openConnections += created
        connect(peer, created)
        return created
    }

    private fun connect(
        peer: PeerAddress,
        connection: TlsConnection,
    ) {
        Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMs.toInt())
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(initializer(clientTls) { connection })
            .connect(peer.host, peer.port)
            .addListener { if (it.isSuccess) counters.connectionsOpened.incrementAndGet() else close(connection) }
    }

    private fun initializer(
        tls: SslContext,
        connection: () -> TlsConnection,
    ) = object : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            val created = connection()
            created.attach(channel)
            channel
                .pipeline()
                .addLast(tls.newHandler(channel.alloc()))
                .addLast(LengthFieldBasedFrameDecoder(settings.maxFrameBytes + HEADER_BYTES, 0, HEADER_BYTES, 0, HEADER_BYTES))
                .addLast(LengthFieldPrepender(HEADER_BYTES))
                .addLast(FrameReceiver(created))
        }
    }

    private fun onFrame(
        connection: TlsConnection,
        frame: ByteArray,
    ): Boolean {
        counters.received(frame.size + HEADER_BYTES)
        connection.receivedAtNanos = System.nanoTime()
        val message = MessageCodec.decode(frame).getOrNull() ?: return false
        if (message is PeerMessage.Hello) return onHello(connection, PeerAddress(message.address))
        val peer = connection.peer ?: return false
        onMessage?.invoke(peer, message)
        return true
    }

    private fun onHello(
        connection: TlsConnection,
        peer: PeerAddress,
    ): Boolean {
        if (connection.peer != null) return false
        connection.peer = peer
        cachedConnections.putIfAbsent(peer, connection)
        return true
    }

    private fun close(connection: TlsConnection) {
        openConnections -= connection
        connection.peer?.let { cachedConnections.remove(it, connection) }
        counters.messagesDropped.addAndGet(connection.close().toLong())
    }

    private fun closeIdle() {
        val now = System.nanoTime()
        openConnections.filter { now - it.receivedAtNanos > TimeUnit.MILLISECONDS.toNanos(settings.idleCloseMs) }.forEach(::close)
        val excess = openConnections.size - settings.maxConnections
        if (excess <= 0) return
        // Sorting requires stable keys, but other threads update the times, so each time is read once.
        val oldest = openConnections.map { it to it.receivedAtNanos }.sortedBy { it.second }.take(excess)
        oldest.forEach { (connection, _) -> close(connection) }
    }

    private inner class FrameReceiver(
        private val connection: TlsConnection,
    ) : SimpleChannelInboundHandler<ByteBuf>() {
        override fun channelRead0(
            context: ChannelHandlerContext,
            frame: ByteBuf,
        ) {
            if (onFrame(connection, ByteBufUtil.getBytes(frame))) return
            counters.framesRefused.incrementAndGet()
            close(connection)
        }

        override fun userEventTriggered(
            context: ChannelHandlerContext,
            event: Any,
        ) {
            if (event !is SslHandshakeCompletionEvent) return
            if (event.isSuccess) return connection.onReady(context.channel())
            counters.peersRefused.incrementAndGet()
            logger.debug(event.cause()) { "TLS handshake with a peer failed on $address" }
        }

        override fun channelInactive(context: ChannelHandlerContext) = close(connection)

        @Deprecated("Deprecated by Netty for outbound use only")
        override fun exceptionCaught(
            context: ChannelHandlerContext,
            cause: Throwable,
        ) {
            if (cause is TooLongFrameException) counters.framesRefused.incrementAndGet()
            logger.debug(cause) { "connection to ${connection.peer} ended" }
            close(connection)
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val HEADER_BYTES = TlsConnection.HEADER_BYTES
        const val IDLE_CHECK_MS = 500L
        const val SHUTDOWN_MS = 500L
    }
}
