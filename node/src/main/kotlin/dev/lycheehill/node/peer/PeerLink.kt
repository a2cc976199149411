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
 * Messages between nodes on one port: beacons as datagrams, requests over HTTP, both in CBOR. Used on [eventLoop] only.
 */
@OptIn(ExperimentalSerializationApi::class)
class PeerLink(
    private val listen: HostPort,
    private val group: EventLoopGroup,
    private val eventLoop: EventLoop,
    metrics: NodeMetrics,
) : PeerChannel,
    EvidenceChannel {
    override var onHeartbeat: (PeerHeartbeat) -> Unit = {}

    /** Receives the evidence of other nodes. */
    var onCrash: (CrashEvidence) -> Unit = {}

    /** Receives the evidence of other nodes. */
    var onSuccess: (SuccessEvidence) -> Unit = {}

    /** Gives the addresses of all other nodes. */
    var addresses: () -> List<String> = { emptyList() }

    override var onRequest: (SyncRequest) -> SyncReply = { SyncReply(0, null, emptyList()) }

    private val cbor = Cbor { ignoreUnknownKeys = true }
    private val replies = SyncReplyCodec()
    private val caller = NodeHttpClient(eventLoop, CONNECT_TIMEOUT_MS, KEEP_ALIVE_IDLE_S)
    private val server = HttpListener(DataPathSettings(), Transport.NIO, group, CallHandler(::serve), metrics)
    private lateinit var datagrams: Channel
    private val receivers = HashMap<String, InetSocketAddress>()

    /** Binds the port. */
    fun start() {
        server.start(listen)
        datagrams =
            Bootstrap()
                .group(eventLoop)
                .channel(NioDatagramChannel::class.java)
                .handler(Receiver())
                .bind(listen.host, listen.port)
                .sync()
                .channel()
    }

    /** Closes the port. */
    fun stop() {
        server.closeNow()
        datagrams.close()
    }

    override fun send(
        addresses: List<String>,
        heartbeat: PeerHeartbeat,
    ) = send(addresses, PeerDatagram(heartbeat = heartbeat))

    override fun send(evidence: CrashEvidence) = broadcast(PeerDatagram(crash = evidence))

    override fun send(evidence: SuccessEvidence) = broadcast(PeerDatagram(success = evidence))

    // Datagrams may be lost, and evidence that arrives twice counts once.
    private fun broadcast(message: PeerDatagram) {
        for (repetition in 0 until EVIDENCE_COPIES) {
            eventLoop.schedule({ send(addresses(), message) }, repetition * COPY_PAUSE_MS, TimeUnit.MILLISECONDS)
        }
    }

    private fun send(
        addresses: List<String>,
        message: PeerDatagram,
    ) {
        if (addresses.isEmpty()) return
        val bytes = cbor.encodeToByteArray(PeerDatagram.serializer(), message)
        for (address in addresses) {
            val receiver = receiver(address) ?: continue
            datagrams.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), receiver), datagrams.voidPromise())
        }
        datagrams.flush()
    }

    // Machines that are replaced leave their addresses behind, so the table is emptied when it has grown.
    private fun receiver(address: String): InetSocketAddress? {
        if (receivers.size > MAX_RECEIVERS) receivers.clear()
        receivers[address]?.let { return it }
        val receiver = HostPort.parseOrNull(address)?.let { InetSocketAddress(it.host, it.port) }
        if (receiver == null) log.warn { "not an address of a node: $address" } else receivers[address] = receiver
        return receiver
    }

    override fun ask(
        address: String,
        request: SyncRequest,
        listener: (SyncReply?) -> Unit,
    ) {
        val body = cbor.encodeToByteArray(SyncRequest.serializer(), request)
        caller.call(address, HttpMethod.POST, SYNC_PATH, body, CBOR_TYPE, ANSWER_TIMEOUT_MS) { result ->
            result.fold({
                log.info { "no state from $address: ${it.reason}" }
                listener(null)
            }) { listener(decode(it.body, address, replies::decode)) }
        }
    }

    private fun serve(call: InboundCall) {
        val request =
            decode(ByteBufUtil.getBytes(call.body), "${call.callerAddress}") { cbor.decodeFromByteArray(SyncRequest.serializer(), it) }
        val status = if (request == null) HttpResponseStatus.BAD_REQUEST else HttpResponseStatus.OK
        val body = request?.let { replies.encode(onRequest(it)) } ?: ByteArray(0)
        call.respond(status, HeaderRules.newHeaders(), Unpooled.wrappedBuffer(body))
    }

    private fun <T> decode(
        bytes: ByteArray,
        source: String,
        decoder: (ByteArray) -> T,
    ): T? =
        Either
            .catch { decoder(bytes) }
            .onLeft { log.warn { "unreadable message from $source: ${it.message}" } }
            .getOrNull()

    private fun datagram(bytes: ByteArray): PeerDatagram = cbor.decodeFromByteArray(PeerDatagram.serializer(), bytes)

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun isSharable(): Boolean = false

        override fun channelRead0(
            ctx: ChannelHandlerContext,
            packet: DatagramPacket,
        ) {
            val message = decode(ByteBufUtil.getBytes(packet.content()), "${packet.sender()}", ::datagram) ?: return
            message.heartbeat?.let { onHeartbeat(it) }
            message.crash?.let { onCrash(it) }
            message.success?.let { onSuccess(it) }
        }

        // A datagram to a node that has ended is answered by an ICMP message, which says nothing about this socket.
        @Deprecated("Deprecated in Java")
        override fun exceptionCaught(
            ctx: ChannelHandlerContext,
            cause: Throwable,
        ) {
            log.debug { "datagram not delivered: ${cause.message}" }
        }
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val MAX_RECEIVERS = 4_096
        const val SYNC_PATH = "/v1/sync"
        const val CBOR_TYPE = "application/cbor"

        // A few round trips between zones.
        const val CONNECT_TIMEOUT_MS = 300
        const val ANSWER_TIMEOUT_MS = 700L
        const val KEEP_ALIVE_IDLE_S = 2

        // All copies arrive within a part of the 3 s in which a request that crashes targets must be known.
        const val EVIDENCE_COPIES = 3
        const val COPY_PAUSE_MS = 200L
    }
}
