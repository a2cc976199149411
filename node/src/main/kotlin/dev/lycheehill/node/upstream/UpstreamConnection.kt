package dev.lycheehill.node.upstream

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
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
 * A connection to a peer that carries one exchange at a time.
 *
 * It returns to its pool only when the bytes received so far have been decoded and none were left over. Bytes that
 * belong to no exchange close it, because they could be taken for the response of the next one.
 */
internal class UpstreamConnection(
    private val pool: ConnectionPool,
) : ChannelInboundHandlerAdapter() {
    private lateinit var ctx: ChannelHandlerContext
    private var exchange: Exchange? = null
    private var headSent = false
    private var requestSent = false
    private var responseEnded = false
    private var passesOver = false
    private var reusable = true

    var idleSinceNanos: Long = 0
        private set

    val isHeadSent: Boolean get() = headSent
    val isUsable: Boolean get() = reusable && ctx.channel().isActive

    // The default reads the annotations of the class, which costs a start some milliseconds.
    override fun isSharable(): Boolean = false

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        this.ctx = ctx
    }

    /** Sends the request of [next]. */
    fun start(next: Exchange) {
        exchange = next
        headSent = false
        requestSent = false
        responseEnded = false
        passesOver = false
        next.attached(this)
        send(next)
    }

    /** Puts an unused connection into the pool. */
    fun becomeIdle() {
        idleSinceNanos = System.nanoTime()
        pool.release(this)
    }

    fun setReading(reading: Boolean) {
        ctx.channel().config().isAutoRead = reading
    }

    fun close() {
        reusable = false
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
        if (msg.decoderResult().isFailure) {
            ReferenceCountUtil.release(msg)
            fail(ExchangeFailure.Kind.BAD_RESPONSE)
            return
        }
        receive(active, msg)
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        if (!responseEnded || exchange == null) return
        if (!isUsable || !requestSent) {
            close()
            return
        }
        exchange = null
        if (!ctx.channel().config().isAutoRead) setReading(true)
        becomeIdle()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        reusable = false
        // The pool counts its open connections, so this one is taken out before a listener can fail.
        pool.removed(this)
        val last = exchange
        exchange = null
        if (!responseEnded) last?.failed(headSent, ExchangeFailure.Kind.CLOSED)
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        if (responseEnded) close() else fail(ExchangeFailure.Kind.CLOSED)
    }

    private fun receive(
        active: Exchange,
        message: HttpObject,
    ) {
        if (message is HttpResponse) {
            val foreign = active.belongsToOtherRequest(message)
            // A peer that sent a response too many may do so again.
            if (foreign) reusable = false
            passesOver = foreign || message.status().codeClass() == HttpStatusClass.INFORMATIONAL
            if (passesOver) return
            if (!HttpUtil.isKeepAlive(message)) reusable = false
            active.response(message)
        }
        if (message is HttpContent) {
            if (passesOver) message.release() else deliver(active, message)
        }
    }

    private fun deliver(
        active: Exchange,
        content: HttpContent,
    ) {
        val isLast = content is LastHttpContent
        responseEnded = isLast
        active.content(content, isLast)
    }

    private fun send(next: Exchange) {
        val body = next.takeBody()
        if (body == null || !body.isReadable) {
            body?.release()
            sendWhole(next)
            return
        }
        sendParts(next, body)
    }

    private fun sendWhole(next: Exchange) {
        val head = next.head
        val whole =
            DefaultFullHttpRequest(
                head.protocolVersion(),
                head.method(),
                head.uri(),
                Unpooled.EMPTY_BUFFER,
                head.headers(),
                EmptyHttpHeaders.INSTANCE,
            )
        val written = ctx.writeAndFlush(whole)
        // A failed write of the head left the peer without a whole request.
        headSent = !written.isDone || written.isSuccess
        requestSent = headSent
    }

    private fun sendParts(
        next: Exchange,
        body: ByteBuf,
    ) {
        val headWritten = ctx.write(next.head)
        val bodyWritten = ctx.writeAndFlush(DefaultLastHttpContent(body))
        headSent = !headWritten.isDone || headWritten.isSuccess
        if (bodyWritten.isDone) {
            requestSent = bodyWritten.isSuccess
        } else {
            bodyWritten.addListener { if (exchange === next) requestSent = it.isSuccess }
        }
    }

    private fun fail(kind: ExchangeFailure.Kind) {
        exchange?.failed(headSent, kind)
        close()
    }
}
