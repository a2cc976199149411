package dev.lycheehill.node.http

import dev.lycheehill.core.Verdict
import dev.lycheehill.node.DataPathSettings
import dev.lycheehill.node.metrics.NodeMetrics
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/**
 * Receives requests whole, serves them and answers them in order.
 *
 * A pipelined request is served beside earlier ones if the handler lets both overlap; otherwise it waits for them. While
 * a call waits, further messages wait here. The connection stays readable until [MAX_WAITING] of them are waiting, so
 * that a caller that closes its connection is noticed.
 */
internal class CallerConnection(
    private val settings: DataPathSettings,
    private val timeouts: RequestTimeoutHandler,
    private val connections: ConnectionSet,
    private val handler: CallHandler,
    private val metrics: NodeMetrics,
) : ChannelInboundHandlerAdapter() {
    private lateinit var ctx: ChannelHandlerContext
    private val waiting = ArrayDeque<HttpObject>()
    private val calls = ArrayDeque<InboundCall>()
    private var undispatched: InboundCall? = null
    private var rejection: HttpResponseStatus? = null
    private var head: HttpRequest? = null
    private lateinit var body: BodyBuffer
    private var closing = false
    private var draining = false
    private var consuming = false

    val isWritable: Boolean get() = ctx.channel().isWritable
    val isIdle: Boolean get() = calls.isEmpty() && head == null && waiting.isEmpty()

    /** Whether no earlier call of this connection is unanswered. */
    fun isFirst(call: InboundCall): Boolean = calls.firstOrNull() === call

    // The default reads the annotations of the class, which costs a start some milliseconds.
    override fun isSharable(): Boolean = false

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        this.ctx = ctx
        body = BodyBuffer(ctx.alloc())
        connections.add(this)
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        if (closing || msg !is HttpObject) {
            ReferenceCountUtil.release(msg)
            return
        }
        waiting.addLast(msg)
        if (waiting.size >= MAX_WAITING) ctx.channel().config().isAutoRead = false
        consumeWaiting()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        connections.remove(this)
        closing = true
        dropCalls()
        releaseAll()
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (isWritable) calls.firstOrNull()?.listener?.onWritable()
    }

    override fun userEventTriggered(
        ctx: ChannelHandlerContext,
        evt: Any,
    ) {
        when (evt) {
            RequestTimeoutHandler.Expired.REQUEST -> if (calls.isEmpty()) reject(HttpResponseStatus.REQUEST_TIMEOUT)
            RequestTimeoutHandler.Expired.IDLE -> if (isIdle) ctx.close()
            else -> ctx.fireUserEventTriggered(evt)
        }
    }

    // Resets by callers are ordinary; the connection is closed and the call in progress is told.
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }

    fun writeAndFlush(message: HttpObject) {
        ctx.writeAndFlush(message, ctx.voidPromise())
    }

    /** Ends [call]. If it is the first one, the calls behind it go on unless the connection is to be closed. */
    fun callDone(call: InboundCall) {
        if (!isFirst(call)) return
        while (calls.firstOrNull()?.isDone == true) {
            val closes = calls.removeFirst().closesConnection
            if (closes || closing) {
                closeAfterFlush()
                return
            }
            calls.firstOrNull()?.becameFirst()
        }
        if (calls.isEmpty()) requestsDone()
        dispatchWaiting()
        consumeWaiting()
    }

    /** Closes the connection now if it carries no call, otherwise after the call that was received last. */
    fun closeWhenIdle() {
        ctx.executor().execute {
            draining = true
            calls.lastOrNull()?.closeAfterResponse()
            if (isIdle) ctx.close()
        }
    }

    /** Makes the close of the connection a reset. */
    fun resetOnClose() {
        ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0)
    }

    /** Closes the connection at once. */
    fun closeNow() {
        ctx.close()
    }

    private fun consumeWaiting() {
        if (consuming) return
        consuming = true
        while (mayReceive()) consume(waiting.removeFirstOrNull() ?: break)
        consuming = false
        if (waiting.isEmpty() && !closing) ctx.channel().config().isAutoRead = true
    }

    // A request behind one that closes the connection is not read, and its caller may send it again.
    private fun mayReceive() =
        !closing && undispatched == null && rejection == null && calls.size < MAX_PIPELINED && calls.lastOrNull()?.closesConnection != true

    private fun requestsDone() {
        val status = rejection
        when {
            status != null -> reject(status)
            head == null -> timeouts.requestDone()
            else -> timeouts.headersDone()
        }
    }

    private fun consume(message: HttpObject) {
        if (message.decoderResult().isFailure) {
            ReferenceCountUtil.release(message)
            reject(statusOf(message.decoderResult().cause()))
            return
        }
        if (message is HttpRequest) begin(message)
        if (message is HttpContent && !closing) append(message)
    }

    private fun begin(request: HttpRequest) {
        val status = check(request)
        if (status != null) {
            ReferenceCountUtil.release(request)
            reject(status)
            return
        }
        head = request
        timeouts.headersDone()
        if (HttpUtil.is100ContinueExpected(request)) writeAndFlush(CONTINUE.retainedDuplicate())
    }

    private fun check(request: HttpRequest): HttpResponseStatus? {
        val version = request.protocolVersion()
        val hosts = request.headers().getAll(HttpHeaderNames.HOST)
        return when {
            version != HttpVersion.HTTP_1_1 && version != HttpVersion.HTTP_1_0 -> HttpResponseStatus.BAD_REQUEST
            hosts.size > 1 || (hosts.isEmpty() && version == HttpVersion.HTTP_1_1) -> HttpResponseStatus.BAD_REQUEST
            request.method() == HttpMethod.CONNECT -> HttpResponseStatus.BAD_REQUEST
            !request.uri().startsWith("/") && request.uri() != "*" -> HttpResponseStatus.BAD_REQUEST
            HttpUtil.getContentLength(request, 0L) > settings.maxBodyBytes -> HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE
            else -> null
        }
    }

    private fun append(content: HttpContent) {
        body.add(content.content())
        if (body.sizeBytes > settings.maxBodyBytes) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        }
        if (content is LastHttpContent) dispatch()
    }

    private fun dispatch() {
        val request = head ?: return
        head = null
        timeouts.bodyDone()
        val call = InboundCall(this, request, body.take(), ctx.channel().eventLoop(), ctx.channel().remoteAddress() as? InetSocketAddress)
        if (draining) call.closeAfterResponse()
        calls.addLast(call)
        if (calls.size == 1 || calls.all(handler::mayRunConcurrently)) serve(call) else undispatched = call
    }

    private fun dispatchWaiting() {
        val call = undispatched ?: return
        if (!isFirst(call)) return
        undispatched = null
        serve(call)
    }

    // The caller learns that requests behind a closing response were not read. Those that are served already are ended.
    private fun dropCalls() {
        while (true) (calls.removeLastOrNull() ?: break).apply { if (isDone) dropHeld() else callerDisconnected() }
        undispatched = null
    }

    // A fault in the handler must not leave the caller without an answer. What ran by then is not known.
    @Suppress("TooGenericExceptionCaught")
    private fun serve(call: InboundCall) {
        try {
            handler.handle(call)
        } catch (e: RuntimeException) {
            log.error(e) { "handler failed" }
            NodeResponses.sendFailure(call, HttpResponseStatus.INTERNAL_SERVER_ERROR, Verdict.MAY_HAVE_RUN, "internal-error")
        }
    }

    private fun reject(status: HttpResponseStatus) {
        if (closing) return
        if (calls.isNotEmpty()) {
            rejection = status
            return
        }
        metrics.countInvalidRequest(status.code())
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER)
        response
            .headers()
            .set(HttpHeaderNames.CONTENT_LENGTH, 0)
            .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            .set(CallHeaders.VERDICT, "not-run")
            .set(CallHeaders.REASON, "invalid-request")
        ctx.write(response)
        closing = true
        releaseAll()
        ctx.channel().config().isAutoRead = true
        ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { closeAfterDiscard() }
    }

    // Closing a socket with unread data resets it, and the caller would lose the response. So the rest is read first.
    private fun closeAfterDiscard() {
        (ctx.channel() as DuplexChannel).shutdownOutput()
        ctx.executor().schedule({ ctx.close() }, DISCARD_MS, TimeUnit.MILLISECONDS)
    }

    private fun closeAfterFlush() {
        closing = true
        dropCalls()
        releaseAll()
        ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
    }

    private fun releaseAll() {
        waiting.forEach(ReferenceCountUtil::release)
        waiting.clear()
        body.release()
        head = null
    }

    private fun statusOf(cause: Throwable): HttpResponseStatus =
        when (cause) {
            is TooLongHttpLineException -> HttpResponseStatus.REQUEST_URI_TOO_LONG
            is TooLongHttpHeaderException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            else -> HttpResponseStatus.BAD_REQUEST
        }

    private companion object {
        val log = KotlinLogging.logger {}

        // The decoder delivers at most 8 KiB in a message, so at most 512 KiB wait on a connection.
        const val MAX_WAITING = 64

        const val DISCARD_MS = 1_000L

        // Calls of one connection that are served at a time.
        const val MAX_PIPELINED = 32

        val CONTINUE =
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER)
    }
}
