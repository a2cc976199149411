package dev.lycheehill.node.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.net.InetSocketAddress

/**
 * One complete request of a caller, and the operations to respond to it. Confined to the event loop of the caller's connection.
 *
 * @property body body of the request. Owned by the call and released when the response is complete.
 */
internal class InboundCall(
    private val connection: CallerConnection,
    head: HttpRequest,
    val body: ByteBuf,
    val eventLoop: EventLoop,
    val callerAddress: InetSocketAddress?,
) {
    val method: HttpMethod = head.method()
    val uri: String = head.uri()
    val headers: HttpHeaders = head.headers()
    var listener: InboundCallListener? = null

    /** Time at which the request was complete, a value of [System.nanoTime]. */
    val receivedNanos: Long = System.nanoTime()

    private val isHttp10 = head.protocolVersion() == HttpVersion.HTTP_1_0
    private val keepAlive = HttpUtil.isKeepAlive(head)
    private var state = State.OPEN
    private var shouldClose = !keepAlive

    // Parts of the response that were produced before the responses to earlier requests of the connection were complete.
    private var heldMessages: ArrayList<HttpObject>? = null

    /** Whether a response has begun or the call has ended. */
    val isAnswered: Boolean get() = state != State.OPEN

    /** Whether the caller's connection accepts more data of this call's response. */
    val isWritable: Boolean get() = connection.isFirst(this) && connection.isWritable

    /** Whether the complete response was written or held back, or the call was aborted. */
    val isDone: Boolean get() = state == State.DONE

    /** Whether the response was ended before it was complete. */
    var isAborted = false
        private set

    /** Whether the connection is closed after this call. */
    val closesConnection: Boolean get() = shouldClose

    /** [uri] without the query. */
    val path: String get() = uri.substringBefore('?')

    /** Closes the caller's connection after the response. */
    fun closeAfterResponse() {
        shouldClose = true
    }

    /** Sends a complete response and takes over the reference to [content]. Only releases [content] if a response has already begun. */
    fun respond(
        status: HttpResponseStatus,
        responseHeaders: HttpHeaders,
        content: ByteBuf,
    ) {
        if (state != State.OPEN) {
            content.release()
            return
        }
        val bodyAllowed = method != HttpMethod.HEAD && !status.hasNoBody()
        if (!status.hasNoBody() && method != HttpMethod.HEAD) {
            responseHeaders.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
        }
        setConnectionHeader(responseHeaders)
        val sent = if (bodyAllowed) content else content.also { it.release() }.let { Unpooled.EMPTY_BUFFER }
        send(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, sent, responseHeaders, EmptyHttpHeaders.INSTANCE))
        finish()
    }

    /** Starts a streamed response, whose content follows through [write] and [end]. */
    fun startStream(
        status: HttpResponseStatus,
        responseHeaders: HttpHeaders,
    ) {
        check(state == State.OPEN) { "the call already has a response" }
        state = State.STREAMING
        if (!responseHeaders.contains(HttpHeaderNames.CONTENT_LENGTH)) setDelimiterWithoutLength(responseHeaders)
        setConnectionHeader(responseHeaders)
        send(DefaultHttpResponse(HttpVersion.HTTP_1_1, status, responseHeaders))
    }

    /** Writes a part of a streamed response and takes over the reference to [content]. The part is sent by the next [flush] or [end]. */
    fun write(content: HttpContent) {
        when {
            state != State.STREAMING -> content.release()
            connection.isFirst(this) -> connection.write(content)
            else -> hold(content)
        }
    }

    /** Sends the parts of a streamed response that were written so far. */
    fun flush() {
        if (state == State.STREAMING && connection.isFirst(this)) connection.flush()
    }

    /** Ends a streamed response and takes over the reference to [last]. */
    fun end(last: LastHttpContent) {
        if (state != State.STREAMING) {
            last.release()
            return
        }
        send(last)
        finish()
    }

    /** Writes the messages held back so far, because the responses to all earlier requests are complete. */
    fun onBecameFirst() {
        heldMessages?.forEach(connection::writeAndFlush)
        heldMessages = null
        if (state != State.DONE) listener?.onWritable()
    }

    /** Closes the caller's connection, so that a partial response cannot be mistaken for a complete one. */
    fun abort() {
        shouldClose = true
        if (state != State.DONE) {
            isAborted = true
            connection.onCallAborted(this)
        }
        // In HTTP/1.0, the end of the connection marks the end of the response, so only a reset shows that it is incomplete.
        if (isHttp10) connection.resetOnClose()
        finish()
    }

    /** Ends the call, because the caller's connection is closed. */
    fun callerDisconnected() {
        if (state == State.DONE) return
        state = State.DONE
        releaseHeld()
        listener?.onCallerDisconnected()
        body.release()
    }

    /** Releases the messages held back, which cannot be sent any more. */
    fun releaseHeld() {
        heldMessages?.forEach(ReferenceCountUtil::release)
        heldMessages = null
    }

    private fun send(message: HttpObject) {
        if (connection.isFirst(this)) connection.writeAndFlush(message) else hold(message)
    }

    private fun hold(message: HttpObject) {
        heldMessages = (heldMessages ?: ArrayList()).apply { add(message) }
    }

    private fun setDelimiterWithoutLength(responseHeaders: HttpHeaders) {
        if (method == HttpMethod.HEAD) return
        if (isHttp10) shouldClose = true else responseHeaders.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
    }

    private fun setConnectionHeader(responseHeaders: HttpHeaders) {
        if (shouldClose) {
            responseHeaders.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        } else if (isHttp10) {
            responseHeaders.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE)
        }
    }

    private fun finish() {
        if (state == State.DONE) return
        state = State.DONE
        body.release()
        connection.onCallDone(this)
    }

    private enum class State { OPEN, STREAMING, DONE }
}

/** Returns whether HTTP defines responses with this status as having neither a body nor a length. */
internal fun HttpResponseStatus.hasNoBody(): Boolean = code() in 100..199 || code() == 204 || code() == 304
