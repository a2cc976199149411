package dev.lycheehill.node.http

import dev.lycheehill.node.DataPathSettings
import dev.lycheehill.node.HttpListener
import dev.lycheehill.node.RawClient
import dev.lycheehill.node.loop.Transport
import dev.lycheehill.node.metrics.CloseCause
import dev.lycheehill.node.metrics.NodeMetrics
import dev.lycheehill.node.settings.HostPort
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.LastHttpContent
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList

/** Tests what is reported about the requests of a connection for each way in which the connection ends. */
class ConnectionEndTest {
    private val group = Transport.NIO.newGroup(1, "connection-end")
    private val calls = CopyOnWriteArrayList<InboundCall>()
    private val ends = CopyOnWriteArrayList<String>()
    private val listener =
        HttpListener(
            settings = DataPathSettings(eventLoopCount = 1, callerIdleTimeoutMs = IDLE_TIMEOUT_MS),
            transport = Transport.NIO,
            group = group,
            handler = HeldCalls(),
            metrics = NodeMetrics(),
            observer = RecordingObserver(),
        ).apply { start(HostPort("127.0.0.1", 0)) }
    private val client = RawClient(listener.address, receiveBufferBytes = SMALL_BUFFER_BYTES)

    @AfterEach
    fun close() {
        client.close()
        listener.closeNow()
        group.shutdownGracefully()
    }

    /** Guards against a request that ends without a response and whose cause the log does not tell. */
    @ParameterizedTest
    @MethodSource("cases")
    fun `each request that ends with its connection is reported with its cause and its stage`(case: Case) {
        case.run(this)
        awaitUntil { ends.size >= case.ends.size }
        Thread.sleep(SETTLE_MS)
        expectThat(ends).containsExactlyInAnyOrder(case.ends)
    }

    private fun send(
        path: String,
        method: String = "GET",
        body: String = "",
    ) = client.send(RawClient.request(method, path, body = body))

    private fun awaitCalls(count: Int): List<InboundCall> {
        awaitUntil { calls.size == count }
        return calls
    }

    private fun onLoop(task: () -> Unit) {
        group.next().submit(task).sync()
    }

    private fun respond(
        call: InboundCall,
        bodyBytes: Int = 0,
    ) = onLoop { call.respond(HttpResponseStatus.OK, DefaultHttpHeaders(), Unpooled.wrappedBuffer(ByteArray(bodyBytes))) }

    private fun startStream(call: InboundCall) =
        onLoop {
            call.startStream(HttpResponseStatus.OK, DefaultHttpHeaders())
            call.write(DefaultHttpContent(Unpooled.wrappedBuffer(ByteArray(1))))
            call.flush()
        }

    private fun reset() {
        Socket(listener.address.address, listener.address.port).use { other ->
            other.getOutputStream().write(RawClient.request("GET", "/passed-on").encodeToByteArray())
            awaitCalls(1)
            other.setSoLinger(true, 0)
        }
    }

    private fun awaitUntil(condition: () -> Boolean) {
        val endNanos = System.nanoTime() + 10_000_000_000
        while (!condition() && System.nanoTime() < endNanos) Thread.sleep(2)
        check(condition()) { "ends so far: $ends" }
    }

    /** A way in which a connection ends, and the reports that it leads to. */
    class Case(
        private val name: String,
        vararg ends: String,
        internal val run: ConnectionEndTest.() -> Unit,
    ) {
        val ends: List<String> = ends.toList()

        override fun toString(): String = name
    }

    private inner class HeldCalls : CallHandler {
        override fun handle(call: InboundCall) {
            call.listener = Listener(isPassedOn = call.path.startsWith("/passed-on"))
            calls.add(call)
        }

        override fun mayRunConcurrently(call: InboundCall) = call.method == HttpMethod.GET
    }

    private class Listener(
        private val isPassedOn: Boolean,
    ) : InboundCallListener {
        override fun onCallerDisconnected() = Unit

        override fun onWritable() = Unit

        override fun progress() = CallProgress(isPassedOn, targetIds = emptyList(), leftMs = 0)
    }

    private inner class RecordingObserver : ConnectionObserver {
        override fun onConnectionClosed(cause: CloseCause) {
            ends.add("connection ${cause.label}")
        }

        override fun onUnanswered(
            call: InboundCall,
            stage: CallStage,
            cause: CloseCause,
            error: Throwable?,
        ) {
            ends.add("${call.path} ${stage.label} ${cause.label}")
        }

        override fun onRequestReleased(
            headers: HttpHeaders,
            stage: CallStage,
            cause: CloseCause,
        ) {
            ends.add("released ${stage.label} ${cause.label}")
        }
    }

    companion object {
        private const val IDLE_TIMEOUT_MS = 500L
        private const val SMALL_BUFFER_BYTES = 4_096
        private const val LARGE_BODY_BYTES = 16 * 1024 * 1024

        // Within this time, a second report of the same request would follow.
        private const val SETTLE_MS = 100L

        @JvmStatic
        fun cases() = endsByPeer() + endsByResponse() + endsByNode()

        private fun endsByPeer() =
            listOf(
                Case("the peer closes", "/passed-on passed_on peer_closed", "connection peer_closed") {
                    send("/passed-on")
                    awaitCalls(1)
                    client.close()
                },
                Case("the peer resets", "/passed-on passed_on connection_error", "connection connection_error") { reset() },
                Case("a request waits", "/a waiting peer_closed", "/b deferred peer_closed", "connection peer_closed") {
                    send("/a")
                    send("/b", method = "POST")
                    awaitCalls(1)
                    awaitUntil { listener.openWork.calls == 2 }
                    client.close()
                },
                Case("a body is incomplete", "released incomplete peer_closed", "connection peer_closed") {
                    client.send(RawClient.request("POST", "/a", body = "body").dropLast(1))
                    awaitUntil { listener.openWork.connections == 1 }
                    Thread.sleep(SETTLE_MS)
                    client.close()
                },
                Case(
                    "a request is queued behind a deferred one",
                    "/a waiting peer_closed",
                    "/b deferred peer_closed",
                    "released queued peer_closed",
                    "connection peer_closed",
                ) {
                    send("/a")
                    send("/b", method = "POST")
                    send("/c")
                    awaitCalls(1)
                    awaitUntil { listener.openWork.calls == 2 }
                    Thread.sleep(SETTLE_MS)
                    client.close()
                },
            )

        private fun endsByResponse() =
            listOf(
                Case(
                    "a streamed response is aborted",
                    "/passed-on streaming aborted_response",
                    "/b waiting aborted_response",
                    "connection aborted_response",
                ) {
                    send("/passed-on")
                    send("/b")
                    val (first) = awaitCalls(2)
                    startStream(first)
                    onLoop { first.abort() }
                    awaitUntil { ends.size == 2 }
                    client.close()
                },
                Case("a response is held", "/a waiting peer_closed", "/b held peer_closed", "connection peer_closed") {
                    send("/a")
                    send("/b")
                    respond(awaitCalls(2)[1])
                    client.close()
                },
                Case("a response closes the connection", "/passed-on passed_on closing_response", "connection closing_response") {
                    client.send("GET /a HTTP/1.0\r\nhost: mesh\r\nconnection: keep-alive\r\n\r\n")
                    send("/passed-on")
                    val (first) = awaitCalls(2)
                    startStream(first)
                    onLoop { first.end(LastHttpContent.EMPTY_LAST_CONTENT) }
                    awaitUntil { ends.size == 1 }
                    client.close()
                },
                Case("a request follows a response that closes", "released discarded closing_response", "connection closing_response") {
                    client.send("GET /a HTTP/1.1\r\nhost: mesh\r\nconnection: close\r\n\r\n")
                    respond(awaitCalls(1)[0])
                    send("/b")
                    awaitUntil { ends.size == 1 }
                    client.close()
                },
                Case("the peer does not read", "/a unsent peer_closed", "connection peer_closed") {
                    send("/a")
                    respond(awaitCalls(1)[0], LARGE_BODY_BYTES)
                    awaitUntil { listener.openWork.unsentBytes > 0 }
                    onLoop { check(listener.openWork.calls == 0) }
                    client.shutdownOutput()
                },
            )

        private fun endsByNode() =
            listOf(
                Case("the node ends", "/passed-on passed_on node_end", "connection node_end") {
                    send("/passed-on")
                    awaitCalls(1)
                    listener.closeNow()
                },
                Case("the node reports before it ends", "/a unsent node_end", "/b waiting node_end", "connection node_end") {
                    send("/a")
                    respond(awaitCalls(1)[0], LARGE_BODY_BYTES)
                    send("/b")
                    awaitCalls(2)
                    listener.reportUnanswered().forEach { it.sync() }
                    listener.closeNow()
                },
                Case("a connection without calls is closed in a stop", "connection stop") {
                    awaitUntil { listener.openWork.connections == 1 }
                    listener.closeWhenIdle()
                    check(client.isClosedByPeer())
                    client.close()
                },
                Case("a connection without calls is closed", "connection idle_timeout") {
                    send("/a")
                    respond(awaitCalls(1)[0])
                    client.read()
                    check(client.isClosedByPeer())
                    client.close()
                },
                Case("a request is invalid", "connection invalid_request") {
                    client.send("BROKEN\r\n\r\n")
                    client.read()
                    client.close()
                },
                Case("the peer does not close", "/a unconfirmed linger_timeout", "connection linger_timeout") {
                    client.send("GET /a HTTP/1.1\r\nhost: mesh\r\nconnection: close\r\n\r\n")
                    respond(awaitCalls(1)[0])
                },
            )
    }
}
