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
 * One request of a caller, received whole, with the means to answer it. Used on the event loop of its connection only.
 *
 * @property body owned by the call and released when it is answered.
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

    private val isHttp10 = head.protocolVersion() == HttpVersion.HTTP_1_0
    private val keepAlive = HttpUtil.isKeepAlive(head)
    private var state = State.OPEN
    private var closeAfter = !keepAlive

    // What was written before the responses to earlier requests of the connection were complete.
    private var held: ArrayList<HttpObject>? = null

    val isAnswered: Boolean get() = state != State.OPEN
    val isWritable: Boolean get() = connection.isFirst(this) && connection.isWritable

    /** Whether the whole response has been written or held, or the call was aborted. */
    val isDone: Boolean get() = state == State.DONE

    /** Whether the connection is closed after this call. */
    val closesConnection: Boolean get() = closeAfter

    /** Path of [uri] without the query. */
    val path: String get() = uri.substringBefore('?')

    /** Closes the caller's connection after the response. */
    fun closeAfterResponse() {
        closeAfter = true
    }

    /** Sends a whole response and takes over [content]. Does nothing but release it when the call is answered already. */
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

    /** Begins a response whose content follows through [write] and [end]. */
    fun startStream(
        status: HttpResponseStatus,
        responseHeaders: HttpHeaders,
    ) {
        check(state == State.OPEN) { "the call is answered already" }
        state = State.STREAMING
        if (!responseHeaders.contains(HttpHeaderNames.CONTENT_LENGTH)) delimitWithoutLength(responseHeaders)
        setConnectionHeader(responseHeaders)
        send(DefaultHttpResponse(HttpVersion.HTTP_1_1, status, responseHeaders))
    }

    /** Sends a part of a streamed response and takes over [content]. */
    fun write(content: HttpContent) {
        if (state == State.STREAMING) send(content) else content.release()
    }

    /** Ends a streamed response. */
    fun end(last: LastHttpContent) {
        if (state != State.STREAMING) {
            last.release()
            return
        }
        send(last)
        finish()
    }

    /** Writes what was held, because the responses to all earlier requests are complete. */
    fun becameFirst() {
        held?.forEach(connection::writeAndFlush)
        held = null
        if (state != State.DONE) listener?.onWritable()
    }

    /** Closes the caller's connection, so that a partial response cannot look whole. */
    fun abort() {
        closeAfter = true
        // The end of the connection is the end of a response to HTTP/1.0, so only a reset shows that it is not whole.
        if (isHttp10) connection.resetOnClose()
        finish()
    }

    /** The caller's connection is closed. */
    fun callerDisconnected() {
        if (state == State.DONE) return
        state = State.DONE
        dropHeld()
        listener?.onCallerDisconnected()
        body.release()
    }

    /** Releases a response that was held and cannot be sent any more. */
    fun dropHeld() {
        held?.forEach(ReferenceCountUtil::release)
        held = null
    }

    private fun send(message: HttpObject) {
        if (connection.isFirst(this)) {
            connection.writeAndFlush(message)
        } else {
            held = (held ?: ArrayList()).apply { add(message) }
        }
    }

    private fun delimitWithoutLength(responseHeaders: HttpHeaders) {
        if (method == HttpMethod.HEAD) return
        if (isHttp10) closeAfter = true else responseHeaders.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
    }

    private fun setConnectionHeader(responseHeaders: HttpHeaders) {
        if (closeAfter) {
            responseHeaders.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        } else if (isHttp10) {
            responseHeaders.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE)
        }
    }

    private fun finish() {
        if (state == State.DONE) return
        state = State.DONE
        body.release()
        connection.callDone(this)
    }

    private enum class State { OPEN, STREAMING, DONE }
}

/** Whether a response with this status has no body and no length by definition. */
internal fun HttpResponseStatus.hasNoBody(): Boolean = code() in 100..199 || code() == 204 || code() == 304
