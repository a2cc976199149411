package dev.lycheehill.fleet.link

import dev.lycheehill.fleet.message.MessageCodec
import dev.lycheehill.fleet.message.PeerMessage
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.port
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap

/**
 * [Link] over plain TCP with Ktor sockets. A frame is the length of a message, followed by the message in CBOR.
 *
 * At most one connection per peer is cached for sending. An accepted connection is also used for sending if no other connection to
 * the peer is cached.
 */
class KtorLink private constructor(
    private val server: ServerSocket,
    private val selector: SelectorManager,
    private val ownsSelector: Boolean,
    override val address: PeerAddress,
    private val settings: LinkSettings,
    dispatcher: CoroutineDispatcher,
) : Link {
    override val counters = LinkCounters()

    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val cachedConnections = ConcurrentHashMap<PeerAddress, KtorConnection>()
    private val openConnections = ConcurrentHashMap.newKeySet<KtorConnection>()
    private val helloFrame = MessageCodec.encode(PeerMessage.Hello(address.text))

    @Volatile
    private var onMessage: ((PeerAddress, PeerMessage) -> Unit)? = null

    override fun start(onMessage: (from: PeerAddress, message: PeerMessage) -> Unit) {
        this.onMessage = onMessage
        scope.launch { acceptAll() }
        scope.launch { closeIdleRepeatedly() }
    }

    override fun send(
        peer: PeerAddress,
        message: PeerMessage,
    ): Boolean {
        val frame = MessageCodec.encode(message)
        val accepted = frame.size <= settings.maxFrameBytes && scope.isActive && connectionTo(peer).offer(frame)
        if (!accepted) counters.messagesDropped.incrementAndGet()
        return accepted
    }

    override fun reset(peer: PeerAddress) {
        cachedConnections[peer]?.let(::close)
    }

    override fun close() {
        scope.cancel()
        openConnections.forEach(::close)
        server.close()
        if (ownsSelector) selector.close()
    }

    private fun connectionTo(peer: PeerAddress): KtorConnection {
        cachedConnections[peer]?.let { return it }
        val created = KtorConnection(settings.queueMessages, System.nanoTime())
        val existing = cachedConnections.putIfAbsent(peer, created)
        if (existing != null) return existing
        created.peer = peer
        created.offer(helloFrame)
        openConnections += created
        scope.launch { connect(peer, created) }
        return created
    }

    private suspend fun connect(
        peer: PeerAddress,
        connection: KtorConnection,
    ) = closeAfter(connection) {
        val socket =
            withTimeout(settings.connectTimeoutMs) {
                aSocket(selector).tcp().connect(peer.host, peer.port) { noDelay = true }
            }
        counters.connectionsOpened.incrementAndGet()
        run(connection, socket)
    }

    private suspend fun acceptAll() {
        while (scope.isActive) {
            val socket =
                try {
                    server.accept()
                } catch (e: IOException) {
                    logger.warn(e) { "accept failed on $address" }
                    delay(ACCEPT_RETRY_MS)
                    continue
                }
            val connection = KtorConnection(settings.queueMessages, System.nanoTime())
            openConnections += connection
            scope.launch { closeAfter(connection) { run(connection, socket) } }
        }
    }

    private suspend fun run(
        connection: KtorConnection,
        socket: io.ktor.network.sockets.Socket,
    ) {
        connection.attach(socket)
        val writer = scope.launch { closeAfter(connection) { connection.write(socket, counters::sent) } }
        try {
            if (!connection.read(socket, settings.maxFrameBytes) { onFrame(connection, it) }) counters.framesRefused.incrementAndGet()
        } finally {
            writer.cancel()
        }
    }

    private fun onFrame(
        connection: KtorConnection,
        frame: ByteArray,
    ): Boolean {
        counters.received(frame.size + KtorConnection.HEADER_BYTES)
        connection.receivedAtNanos = System.nanoTime()
        val message = MessageCodec.decode(frame).getOrNull() ?: return false
        if (message is PeerMessage.Hello) return onHello(connection, PeerAddress(message.address))
        val peer = connection.peer ?: return false
        onMessage?.invoke(peer, message)
        return true
    }

    private fun onHello(
        connection: KtorConnection,
        peer: PeerAddress,
    ): Boolean {
        if (connection.peer != null) return false
        connection.peer = peer
        cachedConnections.putIfAbsent(peer, connection)
        return true
    }

    // Depending on which side closes a connection and when, the end of the connection raises different exceptions.
    @Suppress("TooGenericExceptionCaught")
    private suspend fun closeAfter(
        connection: KtorConnection,
        block: suspend () -> Unit,
    ) {
        try {
            block()
        } catch (e: CancellationException) {
            logger.trace(e) { "connection to ${connection.peer} cancelled" }
        } catch (e: Exception) {
            logger.debug(e) { "connection to ${connection.peer} ended" }
        } finally {
            close(connection)
        }
    }

    private fun close(connection: KtorConnection) {
        openConnections -= connection
        connection.peer?.let { cachedConnections.remove(it, connection) }
        counters.messagesDropped.addAndGet(connection.close().toLong())
    }

    private suspend fun closeIdleRepeatedly() {
        while (scope.isActive) {
            delay(IDLE_CHECK_MS)
            closeIdle()
        }
    }

    private fun closeIdle() {
        val now = System.nanoTime()
        openConnections.filter { now - it.receivedAtNanos > settings.idleCloseMs * NANOS_PER_MILLI }.forEach(::close)
        val excess = openConnections.size - settings.maxConnections
        if (excess <= 0) return
        // Sorting requires stable keys, but other threads update the times, so each time is read once.
        val oldest = openConnections.map { it to it.receivedAtNanos }.sortedBy { it.second }.take(excess)
        oldest.forEach { (connection, _) -> close(connection) }
    }

    companion object {
        private val logger = KotlinLogging.logger {}
        private const val NANOS_PER_MILLI = 1_000_000L
        private const val IDLE_CHECK_MS = 500L
        private const val ACCEPT_RETRY_MS = 100L

        /**
         * Binds [host] and [port] (0 for any free port) and returns the link, which receives messages once it is started.
         *
         * If [selector] is given, the link shares it and does not close it.
         */
        fun bind(
            host: String,
            port: Int = 0,
            settings: LinkSettings = LinkSettings(),
            selector: SelectorManager? = null,
            dispatcher: CoroutineDispatcher = Dispatchers.IO.limitedParallelism(2),
        ): KtorLink {
            val used = selector ?: SelectorManager(dispatcher)
            val server = runBlocking { aSocket(used).tcp().bind(host, port) { reuseAddress = true } }
            return KtorLink(server, used, selector == null, PeerAddress("$host:${server.port}"), settings, dispatcher)
        }
    }
}
