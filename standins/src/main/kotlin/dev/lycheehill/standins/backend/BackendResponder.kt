package dev.lycheehill.standins.backend

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion

/** Writes the responses of a [BackendStandIn], with the injected fault if there is one. */
internal object BackendResponder {
    fun respond(
        call: BackendCall,
        fault: BackendFault,
    ) {
        when (fault) {
            BackendFault.NONE -> send(call, completeResponse(call))
            BackendFault.OVER_LONG -> sendExtraResponse(call)
            BackendFault.CLOSE_BEFORE_RESPONSE -> call.ctx.close()
            BackendFault.CLOSE_MID_BODY -> closeMidBody(call)
            BackendFault.TRUNCATED_CHUNKS -> sendTruncatedChunks(call)
            BackendFault.NOT_HTTP -> sendInvalidHttp(call)
            BackendFault.SILENT -> Unit
        }
    }

    fun sendText(
        call: BackendCall,
        status: HttpResponseStatus,
        text: String,
    ) = send(call, response(status, Unpooled.copiedBuffer(text, Charsets.US_ASCII)))

    private fun send(
        call: BackendCall,
        response: FullHttpResponse,
    ) {
        val writeFuture = call.ctx.writeAndFlush(response)
        if (!call.keepAlive) writeFuture.addListener(ChannelFutureListener.CLOSE)
    }

    private fun sendExtraResponse(call: BackendCall) {
        call.ctx.write(completeResponse(call))
        call.ctx.writeAndFlush(response(HttpResponseStatus.OK, Unpooled.copiedBuffer("response of no request", Charsets.US_ASCII)))
    }

    private fun closeMidBody(call: BackendCall) {
        val full = completeResponse(call)
        val half = full.content().readableBytes() / 2
        call.ctx.write(DefaultHttpResponse(full.protocolVersion(), full.status(), full.headers()))
        call.ctx
            .writeAndFlush(DefaultHttpContent(full.content().slice(0, half)))
            .addListener(ChannelFutureListener.CLOSE)
    }

    private fun sendTruncatedChunks(call: BackendCall) {
        val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        call.ctx.write(head)
        call.ctx.writeAndFlush(DefaultHttpContent(body(call))).addListener(ChannelFutureListener.CLOSE)
    }

    private fun sendInvalidHttp(call: BackendCall) {
        val raw =
            call.ctx
                .channel()
                .pipeline()
                .firstContext()
        raw.writeAndFlush(Unpooled.copiedBuffer("no http\r\n\r\n", Charsets.US_ASCII)).addListener(ChannelFutureListener.CLOSE)
    }

    private fun completeResponse(call: BackendCall): FullHttpResponse = response(HttpResponseStatus.valueOf(call.status), body(call))

    private fun response(
        status: HttpResponseStatus,
        content: ByteBuf,
    ): FullHttpResponse {
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
        return response
    }

    // The body contains the key of the request, so that a caller detects a response that belongs to another request.
    private fun body(call: BackendCall): ByteBuf {
        val text = "${call.key} ${call.bodyBytes}\n"
        val sizeBytes = call.responseBytes ?: return Unpooled.copiedBuffer(text, Charsets.UTF_8)
        return Unpooled.copiedBuffer(text.repeat(sizeBytes / text.length + 1).substring(0, sizeBytes), Charsets.US_ASCII)
    }
}
