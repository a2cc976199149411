package dev.lycheehill.fleet.link

import dev.lycheehill.fleet.message.MessageCodec
import dev.lycheehill.fleet.message.PeerMessage
import dev.lycheehill.fleet.message.WireRecord
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.io.DataOutputStream
import java.net.Socket
import java.nio.file.Path
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

class SocketLinkTest {
    enum class Transport { KTOR, TLS }

    private val links = ArrayList<Link>()

    @AfterEach
    fun close() = links.forEach { it.close() }

    @ParameterizedTest
    @EnumSource
    fun `a message and the answer arrive over one connection`(transport: Transport) {
        val (a, receivedByA) = open(transport)
        val (b, receivedByB) = open(transport)
        expectThat(a.send(b.address, PeerMessage.Ping(1))).isTrue()
        expectThat(receivedByB.awaitNext()).isEqualTo(a.address to PeerMessage.Ping(1))
        b.send(a.address, PeerMessage.Ack(1))
        expectThat(receivedByA.awaitNext()).isEqualTo(b.address to PeerMessage.Ack(1))
        expectThat(a.counters.connectionsOpened.get() + b.counters.connectionsOpened.get()).isEqualTo(1)
        expectThat(b.counters.bytesReceived.get()).isEqualTo(a.counters.bytesSent.get())
    }

    @ParameterizedTest
    @EnumSource
    fun `a message longer than the largest frame is not sent and later messages arrive`(transport: Transport) {
        val (a, _) = open(transport)
        val (b, receivedByB) = open(transport)
        val long = PeerMessage.Records(listOf(WireRecord(0, ByteArray(1_048_576), "")))
        expectThat(a.send(b.address, long)).isFalse()
        a.send(b.address, PeerMessage.Ping(2))
        expectThat(receivedByB.awaitNext()?.second).isEqualTo(PeerMessage.Ping(2))
    }

    @ParameterizedTest
    @EnumSource
    fun `a message after a reset arrives over a new connection`(transport: Transport) {
        val (a, _) = open(transport)
        val (b, receivedByB) = open(transport)
        a.send(b.address, PeerMessage.Ping(1))
        expectThat(receivedByB.awaitNext()).isNotNull()
        a.reset(b.address)
        a.send(b.address, PeerMessage.Ping(2))
        expectThat(receivedByB.awaitNext()?.second).isEqualTo(PeerMessage.Ping(2))
    }

    @ParameterizedTest
    @EnumSource
    fun `messages to an unreachable peer are dropped and counted`(transport: Transport) {
        val (a, _) = open(transport)
        val (b, _) = open(transport)
        b.close()
        TimeUnit.MILLISECONDS.sleep(200)
        a.send(b.address, PeerMessage.Ping(1))
        repeat(100) { if (a.counters.messagesDropped.get() == 0L) TimeUnit.MILLISECONDS.sleep(20) }
        expectThat(a.counters.messagesDropped.get() > 0).isTrue()
    }

    /** Guards against a faulty peer whose frames exhaust memory or close the connections of other peers. */
    @Test
    fun `an invalid frame closes only its own connection`() {
        val (a, receivedByA) = open(Transport.KTOR)
        val hello = MessageCodec.encode(PeerMessage.Hello("127.0.0.1:9"))
        val broken = listOf(Int.MAX_VALUE to ByteArray(0), -1 to ByteArray(0), 0 to ByteArray(0), 3 to byteArrayOf(1, 2, 3))
        broken.forEach { (size, bytes) ->
            Socket(a.address.host, a.address.port).use { socket ->
                val output = DataOutputStream(socket.getOutputStream())
                output.writeInt(hello.size)
                output.write(hello)
                output.writeInt(size)
                output.write(bytes)
                output.flush()
                expectThat(socket.getInputStream().read()).isEqualTo(-1)
            }
        }
        expectThat(a.counters.framesRefused.get()).isEqualTo(broken.size.toLong())
        val (b, _) = open(Transport.KTOR)
        b.send(a.address, PeerMessage.Ping(3))
        expectThat(receivedByA.awaitNext()?.second).isEqualTo(PeerMessage.Ping(3))
    }

    /** Guards against a foreign process that sends messages to the fleet or receives messages from it. */
    @Test
    fun `a peer without a certificate of the fleet is refused in both directions`() {
        val (fleet, receivedByFleet) = open(Transport.TLS)
        val (stranger, receivedByStranger) = startLink(TlsLink("127.0.0.1", tls = tls("stranger", authority = "fleet-ca")))
        val (trusting, receivedByTrusting) = startLink(TlsLink("127.0.0.1", tls = tls("stranger", authority = "other-ca")))
        val (plain, _) = open(Transport.KTOR)
        listOf(stranger, trusting, plain).forEach { it.send(fleet.address, PeerMessage.Ping(1)) }
        fleet.send(stranger.address, PeerMessage.Ping(2))
        fleet.send(trusting.address, PeerMessage.Ping(3))
        expectThat(receivedByFleet.awaitNext(waitMs = 1_000)).isNull()
        expectThat(receivedByStranger.awaitNext(waitMs = 10)).isNull()
        expectThat(receivedByTrusting.awaitNext(waitMs = 10)).isNull()
        expectThat(fleet.counters.peersRefused.get() >= 3).isTrue()
    }

    private fun open(transport: Transport) =
        startLink(if (transport == Transport.KTOR) KtorLink.bind("127.0.0.1") else TlsLink("127.0.0.1", tls = tls("node", "fleet-ca")))

    private fun startLink(link: Link): Pair<Link, LinkedBlockingQueue<Pair<PeerAddress, PeerMessage>>> {
        val received = LinkedBlockingQueue<Pair<PeerAddress, PeerMessage>>()
        links += link
        link.start { from, message -> received += from to message }
        return link to received
    }

    private fun tls(
        name: String,
        authority: String,
    ) = TlsSettings(resource("$name.pem"), resource("$name-key.pem"), resource("$authority.pem"))

    private fun resource(name: String): Path = Path.of(checkNotNull(javaClass.getResource("/tls/$name")).toURI())

    private fun LinkedBlockingQueue<Pair<PeerAddress, PeerMessage>>.awaitNext(waitMs: Long = 3_000) = poll(waitMs, TimeUnit.MILLISECONDS)
}
