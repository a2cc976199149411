package dev.lycheehill.node.http

import dev.lycheehill.node.DataPathSettings
import dev.lycheehill.node.metrics.NodeMetrics
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.NullSource
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.startsWith

/** Tests a caller's connection on which an exception occurs while a call is in progress. */
class CallerConnectionExceptionTest {
    private val calls = ArrayList<InboundCall>()
    private val timeouts = RequestTimeoutHandler(DataPathSettings())
    private val channel =
        EmbeddedChannel(
            timeouts,
            StrictRequestDecoder(DataPathSettings()),
            HttpResponseEncoder(),
            CallerConnection(DataPathSettings(), timeouts, ConnectionSet(), calls::add, NodeMetrics(), ConnectionObserver.None),
        )

    /** Guards against responses that are lost because a failure of the node, such as a lack of memory, closes the caller's connection. */
    @ParameterizedTest
    @NullSource
    @ValueSource(classes = [OutOfMemoryError::class, StackOverflowError::class, IllegalStateException::class])
    fun `a call in progress gets its response after an exception that does not come from the caller`(exception: Class<out Throwable>?) {
        channel.writeInbound(Unpooled.copiedBuffer("POST /orders HTTP/1.1\r\nhost: mesh\r\n\r\n", Charsets.ISO_8859_1))
        channel.runPendingTasks()
        exception?.let { channel.pipeline().fireExceptionCaught(it.getDeclaredConstructor().newInstance()) }
        channel.runPendingTasks()
        calls.single().respond(HttpResponseStatus.OK, HeaderRules.newHeaders(), Unpooled.EMPTY_BUFFER)
        val sent = generateSequence { channel.readOutbound<ByteBuf>() }.joinToString("") { it.toString(Charsets.ISO_8859_1) }
        expectThat(sent).startsWith("HTTP/1.1 200 OK")
    }
}
