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
 * [Link] over TCP by Ktor sockets: one CBOR message per frame, with the length of the message before it.
 *
 * At most one connection per peer is cached for sending. An accepted connection is used for sending when there is no
 * other to its peer.
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
    private val cached = ConcurrentHashMap<PeerAddress, KtorConnection>()
    private val open = ConcurrentHashMap.newKeySet<KtorConnection>()
    private val hello = MessageCodec.encode(PeerMessage.Hello(address.text))

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
        cached[peer]?.let(::close)
    }

    override fun close() {
        scope.cancel()
        open.forEach(::close)
        server.close()
        if (ownsSelector) selector.close()
    }

    private fun connectionTo(peer: PeerAddress): KtorConnection {
        cached[peer]?.let { return it }
        val created = KtorConnection(settings.queueMessages, System.nanoTime())
        val existing = cached.putIfAbsent(peer, created)
        if (existing != null) return existing
        created.peer = peer
        created.offer(hello)
        open += created
        scope.launch { connect(peer, created) }
        return created
    }

    private suspend fun connect(
        peer: PeerAddress,
        connection: KtorConnection,
    ) = closing(connection) {
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
            open += connection
            scope.launch { closing(connection) { run(connection, socket) } }
        }
    }

    private suspend fun run(
        connection: KtorConnection,
        socket: io.ktor.network.sockets.Socket,
    ) {
        connection.attach(socket)
        val writer = scope.launch { closing(connection) { connection.write(socket, counters::sent) } }
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
        cached.putIfAbsent(peer, connection)
        return true
    }

    // The end of a connection shows as one of several exceptions, depending on which side closes it and when.
    @Suppress("TooGenericExceptionCaught")
    private suspend fun closing(
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
        open -= connection
        connection.peer?.let { cached.remove(it, connection) }
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
        open.filter { now - it.receivedAtNanos > settings.idleCloseMs * NANOS_PER_MILLI }.forEach(::close)
        val excess = open.size - settings.maxConnections
        if (excess <= 0) return
        // The times change while they are sorted, so they are read once.
        val oldest = open.map { it to it.receivedAtNanos }.sortedBy { it.second }.take(excess)
        oldest.forEach { (connection, _) -> close(connection) }
    }

    companion object {
        private val logger = KotlinLogging.logger {}
        private const val NANOS_PER_MILLI = 1_000_000L
        private const val IDLE_CHECK_MS = 500L
        private const val ACCEPT_RETRY_MS = 100L

        /**
         * Binds [host] and [port] (0 for any) and returns the link, which receives once it is started.
         *
         * A [selector] that is passed in is shared and stays open.
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
