package dev.lycheehill.node.http

import dev.lycheehill.core.Verdict
import dev.lycheehill.node.DataPathSettings
import dev.lycheehill.node.metrics.CloseCause
import dev.lycheehill.node.metrics.NodeMetrics
import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelOption
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
import io.netty.util.concurrent.Future
import java.io.IOException
import java.net.InetSocketAddress
import java.nio.channels.ClosedChannelException
import java.util.concurrent.TimeUnit

/**
 * Connection of a caller. Receives complete requests, passes each to the handler and writes the responses in request order.
 *
 * A pipelined request is handled concurrently with earlier requests if the handler permits this for all of them; otherwise the
 * request is deferred until the earlier responses are complete. Messages behind a deferred request stay in a queue. Reading
 * continues until the queue holds [MAX_PENDING_MESSAGES] messages, so that a disconnect of the caller is detected.
 */
internal class CallerConnection(
    private val settings: DataPathSettings,
    private val timeouts: RequestTimeoutHandler,
    private val connections: ConnectionSet,
    private val handler: CallHandler,
    private val metrics: NodeMetrics,
    private val observer: ConnectionObserver,
) : ChannelInboundHandlerAdapter() {
    private lateinit var ctx: ChannelHandlerContext
    private val pendingMessages = ArrayDeque<HttpObject>()
    private val calls = ArrayDeque<InboundCall>()
    private var deferredCall: InboundCall? = null
    private var pendingRejection: HttpResponseStatus? = null
    private var head: HttpRequest? = null
    private lateinit var body: BodyBuffer
    private lateinit var lingeringClose: LingeringClose
    private var resetsOnClose = false
    private var isClosing = false
    private var isDraining = false
    private var isProcessing = false
    private var isWriting = false

    @Volatile
    private var closeCause: CloseCause? = null
    private var closeError: Throwable? = null
    private var closingCall: InboundCall? = null
    private var isReported = false

    // Complete responses that the operating system has not accepted entirely.
    private val unsentCalls = ArrayDeque<InboundCall>()

    /** Number of complete requests whose responses are not complete. Written by the event loop, read by any thread. */
    @Volatile
    var openCallCount = 0
        private set

    @Volatile
    private var isReceiving = false

    /** Bytes that were written and that the operating system has not accepted. Thread-safe. */
    val unsentBytes: Long
        get() =
            ctx
                .channel()
                .unsafe()
                .outboundBuffer()
                ?.totalPendingWriteBytes() ?: 0

    /** Whether the connection has a request without a complete response, or unsent bytes. Thread-safe. */
    val hasOpenWork: Boolean get() = openCallCount > 0 || isReceiving || unsentBytes > 0

    val isWritable: Boolean get() = ctx.channel().isWritable
    val isIdle: Boolean get() = calls.isEmpty() && head == null && pendingMessages.isEmpty()

    /** Returns whether the responses to all earlier calls of this connection are complete. */
    fun isFirst(call: InboundCall): Boolean = calls.firstOrNull() === call

    // The default implementation reads the annotations of the class by reflection, which slows the start by some milliseconds.
    override fun isSharable(): Boolean = false

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        this.ctx = ctx
        body = BodyBuffer(ctx.alloc())
        lingeringClose = LingeringClose(ctx, { connections.onFlushed(this) }, ::onLingerTimeout)
        connections.add(this)
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        if (isClosing || msg !is HttpObject) {
            if (isClosing) onLingeringInput()
            if (msg is HttpRequest) reportReleased(msg, CallStage.DISCARDED)
            ReferenceCountUtil.release(msg)
            return
        }
        pendingMessages.addLast(msg)
        if (pendingMessages.size >= MAX_PENDING_MESSAGES) ctx.channel().config().isAutoRead = false
    }

    // The end of the input becomes visible only after this event. A request whose caller has disconnected before the node read it
    // is then not forwarded, so the messages are processed in a later task.
    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        if (pendingMessages.isNotEmpty()) ctx.executor().execute { if (ctx.channel().isActive) processPending() }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        connections.remove(this)
        lingeringClose.onClosed()
        isClosing = true
        if (closeCause == null) closeCause = CloseCause.PEER_CLOSED
        endRemainingCalls()
        releasePending()
        observer.onConnectionClosed(closeCause ?: CloseCause.PEER_CLOSED)
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
            RequestTimeoutHandler.Expired.IDLE -> if (isIdle) closeAfterResponses(CloseCause.IDLE_TIMEOUT)
            else -> ctx.fireUserEventTriggered(evt)
        }
    }

    // Connection resets by callers are common and not logged. Closing the connection notifies the calls in progress. After a failed
    // write, a response may be incomplete, so no other one may follow.
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        if (isErrorOfConnection(cause)) setCloseCause(CloseCause.CONNECTION_ERROR, cause)
        if (cause is IOException || isWriting) ctx.close() else stopReceiving(cause)
    }

    /** Writes a part of the response to the first call. The next flush sends the part. */
    fun write(message: HttpObject) = writing { ctx.write(message, ctx.voidPromise()) }

    /** Sends the parts written so far. */
    fun flush() {
        ctx.flush()
    }

    /** Writes a part of the response to the first call and sends it. */
    fun writeAndFlush(message: HttpObject) = writing { ctx.writeAndFlush(message, ctx.voidPromise()) }

    /**
     * Called when the response to [call] is complete. If [call] is the first one, the responses to the calls behind it follow,
     * unless the connection has to be closed.
     */
    fun onCallDone(call: InboundCall) {
        if (!isFirst(call)) return
        while (calls.firstOrNull()?.isDone == true) {
            val done = calls.removeFirst()
            openCallCount = calls.size
            trackUnsent(done)
            if (done.closesConnection || isClosing) {
                closingCall = done
                closeAfterResponses(if (done.isAborted) CloseCause.ABORTED_RESPONSE else CloseCause.CLOSING_RESPONSE)
                return
            }
            calls.firstOrNull()?.onBecameFirst()
        }
        if (calls.isEmpty()) onAllCallsDone()
        handleDeferredCall()
        processPending()
    }

    /**
     * Closes the connection after the response to the last call received, or to the next one if it carries none. Without a further
     * request, it is closed after [IDLE_CLOSE_DELAY_MS].
     */
    fun closeWhenIdle() {
        ctx.executor().execute {
            isDraining = true
            calls.lastOrNull()?.closeAfterResponse()
            // A request may have arrived that the event loop has not read yet. Timers run after the input has been read.
            ctx.executor().schedule({ if (isIdle) closeAfterResponses(CloseCause.STOP) }, IDLE_CLOSE_DELAY_MS, TimeUnit.MILLISECONDS)
        }
    }

    /** Called before [call] ends with an incomplete response. */
    fun onCallAborted(call: InboundCall) = report(call, CallStage.STREAMING, CloseCause.ABORTED_RESPONSE)

    /** Reports the calls without a complete response because the node ends. Returns a future of the report. */
    fun reportUnanswered(): Future<*> =
        ctx.executor().submit {
            setCloseCause(CloseCause.NODE_END)
            unsentCalls.forEach { report(it, CallStage.UNSENT) }
            calls.forEach(::reportUnfinished)
            reportPending()
            isReported = true
        }

    /** Sets `SO_LINGER` to 0, so that closing the connection sends a TCP reset. */
    fun resetOnClose() {
        resetsOnClose = true
        ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0)
    }

    /** Closes the connection immediately. */
    fun closeNow() {
        closeCause = CloseCause.NODE_END
        ctx.close()
    }

    @Suppress("TooGenericExceptionCaught")
    private fun processPending() {
        if (isProcessing) return
        isProcessing = true
        try {
            while (canProcess()) process(pendingMessages.removeFirstOrNull() ?: break)
        } catch (e: Throwable) {
            stopReceiving(e)
        }
        isProcessing = false
        if (pendingMessages.isEmpty() && !isClosing) ctx.channel().config().isAutoRead = true
    }

    private fun onLingeringInput() {
        lingeringClose.onInput()
        connections.onLingeringInput()
    }

    // A failed write is reported to exceptionCaught before the write returns.
    private inline fun writing(write: () -> Unit) {
        val wasWriting = isWriting
        isWriting = true
        write()
        isWriting = wasWriting
    }

    // Answers the calls in progress and processes no further message, because parts of the next request may be missing.
    private fun stopReceiving(cause: Throwable) {
        log.error(cause) { "closing a caller's connection after its calls in progress: ${calls.size}" }
        releasePending()
        calls.lastOrNull()?.closeAfterResponse() ?: closeAfterResponses(CloseCause.CONNECTION_ERROR)
    }

    // A request behind one that closes the connection is not processed, so the caller can safely send the request again.
    private fun canProcess() =
        !isClosing &&
            deferredCall == null &&
            pendingRejection == null &&
            calls.size < MAX_CONCURRENT_CALLS &&
            calls.lastOrNull()?.closesConnection != true

    private fun onAllCallsDone() {
        val status = pendingRejection
        when {
            status != null -> reject(status)
            head == null -> timeouts.onCallsDone()
            else -> timeouts.onHeadersReceived()
        }
    }

    private fun process(message: HttpObject) {
        if (message.decoderResult().isFailure) {
            ReferenceCountUtil.release(message)
            reject(statusOf(message.decoderResult().cause()))
            return
        }
        if (message is HttpRequest) beginRequest(message)
        if (message is HttpContent && !isClosing) appendContent(message)
    }

    private fun beginRequest(request: HttpRequest) {
        val status = validate(request)
        if (status != null) {
            ReferenceCountUtil.release(request)
            reject(status)
            return
        }
        head = request
        isReceiving = true
        timeouts.onHeadersReceived()
        if (HttpUtil.is100ContinueExpected(request)) writeAndFlush(CONTINUE.retainedDuplicate())
    }

    private fun validate(request: HttpRequest): HttpResponseStatus? {
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

    private fun appendContent(content: HttpContent) {
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
        isReceiving = false
        timeouts.onBodyReceived()
        val call = InboundCall(this, request, body.take(), ctx.channel().eventLoop(), ctx.channel().remoteAddress() as? InetSocketAddress)
        if (isDraining) call.closeAfterResponse()
        val isConcurrent = calls.isEmpty() || (calls + call).all(handler::mayRunConcurrently)
        calls.addLast(call)
        openCallCount = calls.size
        if (isConcurrent) serve(call) else deferredCall = call
    }

    private fun handleDeferredCall() {
        val call = deferredCall ?: return
        if (!isFirst(call)) return
        deferredCall = null
        serve(call)
    }

    // A response that closes the connection tells the caller that later requests were not processed, so calls behind this response
    // that are already being handled are ended.
    private fun endRemainingCalls() {
        while (true) {
            val call = calls.removeLastOrNull() ?: break
            reportUnfinished(call)
            if (call.isDone) call.releaseHeld() else call.callerDisconnected()
        }
        openCallCount = 0
        deferredCall = null
    }

    // An error in the handler must not leave the caller without a response. The verdict is "may have run", because the handler
    // may have sent the request already.
    @Suppress("TooGenericExceptionCaught")
    private fun serve(call: InboundCall) {
        try {
            handler.handle(call)
        } catch (e: Throwable) {
            NodeResponses.sendFailure(call, HttpResponseStatus.INTERNAL_SERVER_ERROR, Verdict.MAY_HAVE_RUN, "internal-error")
            log.error(e) { "call handler failed; responded with status 500" }
        }
    }

    private fun reject(status: HttpResponseStatus) {
        if (isClosing) return
        if (calls.isNotEmpty()) {
            pendingRejection = status
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
        head = null
        closeAfterResponses(CloseCause.INVALID_REQUEST)
    }

    // Closes the connection except on an exception and at the end of the process. Calls without a response are ended.
    private fun closeAfterResponses(cause: CloseCause) {
        if (isClosing) return
        isClosing = true
        setCloseCause(cause)
        endRemainingCalls()
        releasePending()
        if (resetsOnClose) {
            ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
        } else {
            lingeringClose.start()
        }
    }

    private fun releasePending() {
        reportPending()
        pendingMessages.forEach(ReferenceCountUtil::release)
        pendingMessages.clear()
        body.release()
        head = null
        isReceiving = false
    }

    // Writes that fail because the connection is closed already also cause exceptions.
    private fun isErrorOfConnection(error: Throwable) =
        error !is ClosedChannelException && closeCause != CloseCause.NODE_END && (closeCause == null || unsentCalls.isNotEmpty())

    private fun setCloseCause(
        cause: CloseCause,
        error: Throwable? = null,
    ) {
        closeCause = cause
        closeError = error
    }

    private fun onLingerTimeout() {
        setCloseCause(CloseCause.LINGER_TIMEOUT)
        closingCall?.let { report(it, CallStage.UNCONFIRMED) }
    }

    // The write of an empty buffer completes when the operating system has accepted the response, and fails if it never does.
    private fun trackUnsent(call: InboundCall) {
        if (call.isAborted || unsentBytes == 0L) return
        unsentCalls.addLast(call)
        ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener { sent ->
            unsentCalls.remove(call)
            if (!sent.isSuccess) report(call, CallStage.UNSENT, error = closeError ?: sent.cause())
        }
    }

    private fun reportUnfinished(call: InboundCall) {
        if (call.isAborted) return
        report(call, stageOf(call))
    }

    private fun stageOf(call: InboundCall) =
        when {
            call.isDone -> CallStage.HELD
            call.isAnswered -> CallStage.STREAMING
            call === deferredCall -> CallStage.DEFERRED
            call.listener?.progress()?.isPassedOn == true -> CallStage.PASSED_ON
            else -> CallStage.WAITING
        }

    private fun report(
        call: InboundCall,
        stage: CallStage,
        cause: CloseCause = closeCause ?: CloseCause.PEER_CLOSED,
        error: Throwable? = closeError,
    ) {
        notifyObserver { onUnanswered(call, stage, cause, error) }
    }

    private fun reportPending() {
        head?.let { reportReleased(it, CallStage.INCOMPLETE) }
        pendingMessages.forEach { if (it is HttpRequest) reportReleased(it, CallStage.QUEUED) }
    }

    private fun reportReleased(
        request: HttpRequest,
        stage: CallStage,
    ) {
        notifyObserver { onRequestReleased(request.headers(), stage, closeCause ?: CloseCause.PEER_CLOSED) }
    }

    // An error of the observer must not keep the connection from ending its calls.
    private inline fun notifyObserver(notification: ConnectionObserver.() -> Unit) {
        if (isReported) return
        runCatching { observer.notification() }.onFailure { log.error(it) { "the end of a call could not be reported" } }
    }

    private fun statusOf(cause: Throwable): HttpResponseStatus =
        when (cause) {
            is TooLongHttpLineException -> HttpResponseStatus.REQUEST_URI_TOO_LONG
            is TooLongHttpHeaderException -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            else -> HttpResponseStatus.BAD_REQUEST
        }

    private companion object {
        val log = KotlinLogging.logger {}

        // A message from the decoder has at most 8 KiB, so a connection holds at most 512 KiB of pending messages.
        const val MAX_PENDING_MESSAGES = 64

        // Limit of the calls that one connection handles at a time.
        const val MAX_CONCURRENT_CALLS = 32

        // Time to read what has arrived before the close. The response to a request that arrives in this time announces the close.
        const val IDLE_CLOSE_DELAY_MS = 100L

        val CONTINUE =
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER)
    }
}
