package dev.lycheehill.node.peer

import arrow.core.Either
import dev.lycheehill.calls.quarantine.CrashEvidence
import dev.lycheehill.calls.quarantine.SuccessEvidence
import dev.lycheehill.fleet.store.PeerChannel
import dev.lycheehill.fleet.store.PeerHeartbeat
import dev.lycheehill.fleet.store.SyncReply
import dev.lycheehill.fleet.store.SyncRequest
import dev.lycheehill.node.DataPathSettings
import dev.lycheehill.node.HttpListener
import dev.lycheehill.node.client.NodeHttpClient
import dev.lycheehill.node.http.CallHandler
import dev.lycheehill.node.http.HeaderRules
import dev.lycheehill.node.http.InboundCall
import dev.lycheehill.node.loop.Transport
import dev.lycheehill.node.metrics.NodeMetrics
import dev.lycheehill.node.quarantine.EvidenceChannel
import dev.lycheehill.node.settings.HostPort
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/**
 * Connection of a node to the other nodes. Heartbeats and evidence are sent as UDP datagrams and sync requests over HTTP, on
 * the same port number. All messages are encoded in CBOR. Used on [eventLoop] only.
 *
 * @param bindAddress address on which the node receives datagrams and requests.
 */
@OptIn(ExperimentalSerializationApi::class)
class PeerLink(
    private val bindAddress: HostPort,
    private val group: EventLoopGroup,
    private val eventLoop: EventLoop,
    metrics: NodeMetrics,
) : PeerChannel,
    EvidenceChannel {
    override var onHeartbeat: (PeerHeartbeat) -> Unit = {}

    /** Receives the crash evidence of other nodes. */
    var onCrash: (CrashEvidence) -> Unit = {}

    /** Receives the success evidence of other nodes. */
    var onSuccess: (SuccessEvidence) -> Unit = {}

    /** Supplies the addresses of all other nodes, written as `ip:port`, to which evidence is sent. */
    var addresses: () -> List<String> = { emptyList() }

    override var onRequest: (SyncRequest) -> SyncReply = { SyncReply(0, null, emptyList()) }

    private val cbor = Cbor { ignoreUnknownKeys = true }
    private val replyCodec = SyncReplyCodec()
    private val httpClient = NodeHttpClient(eventLoop, CONNECT_TIMEOUT_MS, KEEP_ALIVE_IDLE_S)
    private val server = HttpListener(DataPathSettings(), Transport.NIO, group, CallHandler(::handleRequest), metrics)
    private lateinit var datagramChannel: Channel
    private val socketAddresses = HashMap<String, InetSocketAddress>()

    /** Binds the port for HTTP and for datagrams. */
    fun start() {
        server.start(bindAddress)
        datagramChannel =
            Bootstrap()
                .group(eventLoop)
                .channel(NioDatagramChannel::class.java)
                .handler(DatagramHandler())
                .bind(bindAddress.host, bindAddress.port)
                .sync()
                .channel()
    }

    /** Closes the port and all connections of other nodes at once. */
    fun stop() {
        server.closeNow()
        datagramChannel.close()
    }

    override fun send(
        addresses: List<String>,
        heartbeat: PeerHeartbeat,
    ) = send(addresses, PeerDatagram(heartbeat = heartbeat))

    override fun send(evidence: CrashEvidence) = broadcast(PeerDatagram(crash = evidence))

    override fun send(evidence: SuccessEvidence) = broadcast(PeerDatagram(success = evidence))

    // Datagrams may be lost, so each is sent several times. A receiver counts repeated evidence once.
    private fun broadcast(message: PeerDatagram) {
        for (repetition in 0 until EVIDENCE_COPIES) {
            eventLoop.schedule({ send(addresses(), message) }, repetition * COPY_INTERVAL_MS, TimeUnit.MILLISECONDS)
        }
    }

    private fun send(
        addresses: List<String>,
        message: PeerDatagram,
    ) {
        if (addresses.isEmpty()) return
        val bytes = cbor.encodeToByteArray(PeerDatagram.serializer(), message)
        for (address in addresses) {
            val socketAddress = socketAddress(address) ?: continue
            datagramChannel.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), socketAddress), datagramChannel.voidPromise())
        }
        datagramChannel.flush()
    }

    // The addresses of replaced nodes are never removed one by one, so the cache is cleared when it exceeds its limit.
    private fun socketAddress(address: String): InetSocketAddress? {
        if (socketAddresses.size > MAX_CACHED_ADDRESSES) socketAddresses.clear()
        socketAddresses[address]?.let { return it }
        val socketAddress = HostPort.parseOrNull(address)?.let { InetSocketAddress(it.host, it.port) }
        if (socketAddress == null) log.warn { "invalid node address: $address" } else socketAddresses[address] = socketAddress
        return socketAddress
    }

    override fun ask(
        address: String,
        request: SyncRequest,
        listener: (SyncReply?) -> Unit,
    ) {
        val body = cbor.encodeToByteArray(SyncRequest.serializer(), request)
        httpClient.call(address, HttpMethod.POST, SYNC_PATH, body, CBOR_CONTENT_TYPE, RESPONSE_TIMEOUT_MS) { result ->
            result.fold({
                log.info { "sync request to $address failed: ${it.reason}" }
                listener(null)
            }) { listener(decode(it.body, address, replyCodec::decode)) }
        }
    }

    private fun handleRequest(call: InboundCall) {
        val request =
            decode(ByteBufUtil.getBytes(call.body), "${call.callerAddress}") { cbor.decodeFromByteArray(SyncRequest.serializer(), it) }
        val status = if (request == null) HttpResponseStatus.BAD_REQUEST else HttpResponseStatus.OK
        val body = request?.let { replyCodec.encode(onRequest(it)) } ?: ByteArray(0)
        call.respond(status, HeaderRules.newHeaders(), Unpooled.wrappedBuffer(body))
    }

    private fun <T> decode(
        bytes: ByteArray,
        source: String,
        decoder: (ByteArray) -> T,
    ): T? =
        Either
            .catch { decoder(bytes) }
            .onLeft { log.warn { "cannot decode message from $source: ${it.message}" } }
            .getOrNull()

    private fun decodeDatagram(bytes: ByteArray): PeerDatagram = cbor.decodeFromByteArray(PeerDatagram.serializer(), bytes)

    private inner class DatagramHandler : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun isSharable(): Boolean = false

        override fun channelRead0(
            ctx: ChannelHandlerContext,
            packet: DatagramPacket,
        ) {
            val message = decode(ByteBufUtil.getBytes(packet.content()), "${packet.sender()}", ::decodeDatagram) ?: return
            message.heartbeat?.let { onHeartbeat(it) }
            message.crash?.let { onCrash(it) }
            message.success?.let { onSuccess(it) }
        }

        // A datagram to a node that has stopped is answered with an ICMP error, which does not affect this socket.
        @Deprecated("Deprecated in Java")
        override fun exceptionCaught(
            ctx: ChannelHandlerContext,
            cause: Throwable,
        ) {
            log.debug { "failed to deliver datagram: ${cause.message}" }
        }
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val MAX_CACHED_ADDRESSES = 4_096
        const val SYNC_PATH = "/v1/sync"
        const val CBOR_CONTENT_TYPE = "application/cbor"

        // The timeouts allow for a few round trips between zones.
        const val CONNECT_TIMEOUT_MS = 300
        const val RESPONSE_TIMEOUT_MS = 700L
        const val KEEP_ALIVE_IDLE_S = 2

        // All copies arrive within a fraction of the 3 s within which all nodes must know a request that crashes targets.
        const val EVIDENCE_COPIES = 3
        const val COPY_INTERVAL_MS = 200L
    }
}
