package dev.lycheehill.node.upstream

import dev.lycheehill.http.StrictResponseDecoder
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass

/**
 * Decodes the responses of a connection that carries one request at a time.
 *
 * Bytes that arrive while no response is expected close the connection. The HTTP decoder alone would keep the beginning of a
 * head without emitting a message, and read it as the beginning of the next response.
 */
internal class ResponseDecoder : StrictResponseDecoder() {
    // Method of the request whose response is expected; null if no response is expected.
    private var requestMethod: HttpMethod? = null

    /** Expects the response to a request with [method]. */
    fun expectResponse(method: HttpMethod) {
        requestMethod = method
        isRequestSent = false
    }

    /** Expects no response until the next call of [expectResponse]. Takes effect for the bytes behind the message emitted last. */
    fun expectNothing() {
        requestMethod = null
    }

    override fun decode(
        ctx: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        if (requestMethod != null) {
            super.decode(ctx, buffer, out)
        } else if (buffer.isReadable) {
            buffer.skipBytes(buffer.readableBytes())
            ctx.close()
        }
    }

    override fun isContentAlwaysEmpty(msg: HttpMessage): Boolean {
        val isInformational = msg is HttpResponse && msg.status().codeClass() == HttpStatusClass.INFORMATIONAL
        return (requestMethod == HttpMethod.HEAD && !isInformational) || super.isContentAlwaysEmpty(msg)
    }
}
