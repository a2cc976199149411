package dev.lycheehill.node.http

import dev.lycheehill.node.DataPathSettings
import dev.lycheehill.node.metrics.CloseCause
import dev.lycheehill.node.metrics.NodeMetrics
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.LastHttpContent
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** Tests what a caller's connection passes on after an error, such as a lack of memory, has interrupted it. */
class CallerConnectionErrorTest {
    private val calls = ArrayList<InboundCall>()
    private val bodies = ArrayList<String>()
    private val allocator = FailingAllocator()
    private val writes = FailingWrites()

    private val handler =
        object : CallHandler {
            override fun handle(call: InboundCall) {
                bodies.add(textOf(call.body))
                calls.add(call)
            }

            override fun mayRunConcurrently(call: InboundCall) = true
        }

    /** Guards against a request that is forwarded without a part of its body. */
    @Test
    fun `a body that lost a part is not handled`() {
        val channel = newChannel()
        channel.input("POST /orders HTTP/1.1\r\nhost: mesh\r\ncontent-length: 9\r\n\r\naaa")
        allocator.isFailing = true
        channel.input("bbb")
        allocator.isFailing = false
        channel.input("ccc")
        expectThat(bodies).isEmpty()
    }

    /** Guards against a response that looks complete without one of its parts. */
    @Test
    fun `a streamed response that lost a part is not continued`() {
        val channel = newChannel()
        channel.input("GET /orders HTTP/1.1\r\nhost: mesh\r\n\r\n")
        val call = calls.single()
        call.startStream(HttpResponseStatus.OK, HeaderRules.newHeaders())
        listOf("first", "second", "third").forEach { part ->
            writes.isFailing = part == "second"
            call.write(DefaultHttpContent(Unpooled.copiedBuffer(part, Charsets.ISO_8859_1)))
            call.flush()
        }
        call.end(LastHttpContent.EMPTY_LAST_CONTENT)
        val sent = channel.output()
        expectThat(sent).contains("first")
        expectThat(sent.endsWith(LAST_CHUNK)).isFalse()
    }

    /** Guards against the response to another request in place of one that could not be written. */
    @Test
    fun `no response follows one that could not be written`() {
        val channel = newChannel()
        channel.input("GET /1 HTTP/1.1\r\nhost: mesh\r\n\r\nGET /2 HTTP/1.1\r\nhost: mesh\r\n\r\n")
        expectThat(calls.size) isEqualTo 2
        calls.zip(listOf(true, false)).forEach { (call, isFailing) ->
            writes.isFailing = isFailing
            call.respond(HttpResponseStatus.OK, HeaderRules.newHeaders(), Unpooled.EMPTY_BUFFER)
        }
        expectThat(channel.output()).isEmpty()
    }

    /** Guards against a call that never ends because its end cannot be reported. */
    @Test
    fun `a call ends although its end cannot be reported`() {
        val channel = newChannel(FailingObserver)
        channel.input("GET /orders HTTP/1.1\r\nhost: mesh\r\n\r\n")
        calls.single().startStream(HttpResponseStatus.OK, HeaderRules.newHeaders())
        calls.single().abort()
        expectThat(calls.single().isDone).isTrue()
    }

    private fun newChannel(observer: ConnectionObserver = ConnectionObserver.None): EmbeddedChannel {
        val settings = DataPathSettings()
        val timeouts = RequestTimeoutHandler(settings)
        val connection = CallerConnection(settings, timeouts, ConnectionSet(), handler, NodeMetrics(), observer)
        return EmbeddedChannel().apply {
            config().allocator = allocator
            pipeline().addLast(writes, timeouts, StrictRequestDecoder(settings), HttpResponseEncoder(), connection)
        }
    }

    private fun EmbeddedChannel.input(text: String) {
        writeInbound(Unpooled.copiedBuffer(text, Charsets.ISO_8859_1))
        runPendingTasks()
    }

    private fun EmbeddedChannel.output() = generateSequence { readOutbound<ByteBuf>() }.joinToString("", transform = ::textOf)

    private fun textOf(buffer: ByteBuf) = buffer.toString(Charsets.ISO_8859_1)

    private class FailingAllocator(
        private val allocator: ByteBufAllocator = UnpooledByteBufAllocator(false),
    ) : ByteBufAllocator by allocator {
        var isFailing = false

        override fun compositeBuffer(maxNumComponents: Int): CompositeByteBuf {
            if (isFailing) throw OutOfMemoryError("no memory for a body")
            return allocator.compositeBuffer(maxNumComponents)
        }
    }

    private class FailingWrites : ChannelOutboundHandlerAdapter() {
        var isFailing = false

        override fun write(
            ctx: ChannelHandlerContext,
            msg: Any,
            promise: ChannelPromise,
        ) {
            if (isFailing) throw OutOfMemoryError("no memory for a response")
            ctx.write(msg, promise)
        }
    }

    private object FailingObserver : ConnectionObserver by ConnectionObserver.None {
        override fun onUnanswered(
            call: InboundCall,
            stage: CallStage,
            cause: CloseCause,
            error: Throwable?,
        ): Unit = throw NoClassDefFoundError("no class for a report")
    }

    private companion object {
        const val LAST_CHUNK = "0\r\n\r\n"
    }
}
