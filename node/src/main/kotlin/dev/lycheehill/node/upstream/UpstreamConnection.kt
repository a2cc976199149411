package dev.lycheehill.node.upstream

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil

/**
 * Connection to a peer that carries one exchange at a time.
 *
 * The connection returns to its pool only after all bytes received so far have been decoded. [decoder] closes it on bytes that
 * belong to no exchange, because they could be mistaken for the response of the next exchange. Surplus bytes that arrive only
 * after the next request was sent are detected by the second status line in the head of its response.
 */
internal class UpstreamConnection(
    private val pool: ConnectionPool,
    private val decoder: ResponseDecoder,
) : ChannelInboundHandlerAdapter() {
    private lateinit var ctx: ChannelHandlerContext
    private var exchange: Exchange? = null
    private var headSent = false
    private var responseEnded = false
    private var isSkipping = false
    private var isReusable = true

    var idleSinceNanos: Long = 0
        private set

    val isHeadSent: Boolean get() = headSent
    val isUsable: Boolean get() = isReusable && ctx.channel().isActive

    // The default implementation reads the annotations of the class by reflection, which slows the start by some milliseconds.
    override fun isSharable(): Boolean = false

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        this.ctx = ctx
    }

    /** Sends the request of [next]. */
    fun start(next: Exchange) {
        exchange = next
        headSent = false
        responseEnded = false
        isSkipping = false
        decoder.expectResponse(next.head.method())
        next.onAttached(this)
        send(next)
    }

    /** Puts the connection into its pool, ready for the next exchange. */
    fun becomeIdle() {
        idleSinceNanos = System.nanoTime()
        pool.release(this)
    }

    fun setReading(reading: Boolean) {
        ctx.channel().config().isAutoRead = reading
    }

    /** Closes the connection after the current exchange. */
    fun preventReuse() {
        isReusable = false
    }

    fun close() {
        isReusable = false
        ctx.close()
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        val active = exchange
        if (active == null || responseEnded || msg !is HttpObject) {
            ReferenceCountUtil.release(msg)
            close()
            return
        }
        if (msg.decoderResult().isFailure || (msg is HttpResponse && msg.containsEmbeddedStatusLine())) {
            ReferenceCountUtil.release(msg)
            failExchange(ExchangeFailure.Kind.BAD_RESPONSE)
            return
        }
        receive(active, msg)
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        exchange?.onReadComplete()
        if (!responseEnded || exchange == null) return
        if (!isUsable || !decoder.isRequestSent) {
            close()
            return
        }
        exchange = null
        if (!ctx.channel().config().isAutoRead) setReading(true)
        becomeIdle()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        isReusable = false
        // The pool counts open connections. Removed first, so that an exception of a listener cannot leave the count too high.
        pool.onConnectionClosed(this)
        val last = exchange
        exchange = null
        if (!responseEnded) last?.fail(headSent, ExchangeFailure.Kind.CLOSED)
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        if (responseEnded) close() else failExchange(ExchangeFailure.Kind.CLOSED)
    }

    private fun receive(
        active: Exchange,
        message: HttpObject,
    ) {
        if (message is HttpResponse) {
            val isForOtherRequest = active.belongsToOtherRequest(message)
            // The connection is not reused, because a peer that sent a surplus response may do so again.
            if (isForOtherRequest) isReusable = false
            isSkipping = isForOtherRequest || message.status().codeClass() == HttpStatusClass.INFORMATIONAL
            if (isSkipping) return
            if (!HttpUtil.isKeepAlive(message)) isReusable = false
            active.onResponse(message)
        }
        if (message is HttpContent) {
            if (isSkipping) message.release() else deliver(active, message)
        }
    }

    private fun deliver(
        active: Exchange,
        content: HttpContent,
    ) {
        val isLast = content is LastHttpContent
        responseEnded = isLast
        if (isLast) decoder.expectNothing()
        active.onContent(content, isLast)
    }

    private fun send(next: Exchange) {
        val body = next.takeBody()
        if (body == null || !body.isReadable) {
            body?.release()
            sendWithoutBody(next)
            return
        }
        sendWithBody(next, body)
    }

    private fun sendWithoutBody(next: Exchange) {
        val head = next.head
        val request =
            DefaultFullHttpRequest(
                head.protocolVersion(),
                head.method(),
                head.uri(),
                Unpooled.EMPTY_BUFFER,
                head.headers(),
                EmptyHttpHeaders.INSTANCE,
            )
        val written = ctx.writeAndFlush(request)
        // After a failed write, the peer has no complete request and cannot have executed the call.
        headSent = !written.isDone || written.isSuccess
        trackRequest(next, written)
    }

    private fun sendWithBody(
        next: Exchange,
        body: ByteBuf,
    ) {
        val headWritten = ctx.write(next.head)
        val bodyWritten = ctx.writeAndFlush(DefaultLastHttpContent(body))
        headSent = !headWritten.isDone || headWritten.isSuccess
        trackRequest(next, bodyWritten)
    }

    private fun trackRequest(
        next: Exchange,
        written: ChannelFuture,
    ) {
        if (written.isDone) {
            decoder.isRequestSent = written.isSuccess
        } else {
            written.addListener { if (exchange === next) decoder.isRequestSent = it.isSuccess }
        }
    }

    private fun failExchange(kind: ExchangeFailure.Kind) {
        exchange?.fail(headSent, kind)
        close()
    }
}
