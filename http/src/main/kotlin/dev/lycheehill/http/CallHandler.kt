package dev.lycheehill.http

import io.netty.buffer.ByteBufUtil
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import java.io.IOException
import java.net.ProtocolException
import java.util.concurrent.CompletableFuture

/** Sends [request] when its connection is open, and completes [result] with the response or with the cause of the failure. */
internal class CallHandler(
    private val request: FullHttpRequest,
    private val decoder: StrictResponseDecoder,
    private val result: CompletableFuture<HttpResult>,
) : SimpleChannelInboundHandler<FullHttpResponse>() {
    override fun channelActive(ctx: ChannelHandlerContext) {
        decoder.isRequestSent = false
        ctx.writeAndFlush(request).addListener { decoder.isRequestSent = it.isSuccess }
    }

    override fun channelRead0(
        ctx: ChannelHandlerContext,
        response: FullHttpResponse,
    ) {
        when {
            response.decoderResult().isFailure -> fail(ctx, malformed(response.decoderResult().cause()))
            response.status().codeClass() != HttpStatusClass.INFORMATIONAL -> {
                result.complete(HttpResult(response.status().code(), response.headers(), ByteBufUtil.getBytes(response.content())))
                ctx.close()
            }
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        result.completeExceptionally(IOException("connection closed before the response was complete"))
    }

    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) = fail(ctx, if (cause is DecoderException) malformed(cause) else IOException("connection failed: ${cause.message}", cause))

    private fun fail(
        ctx: ChannelHandlerContext,
        failure: IOException,
    ) {
        result.completeExceptionally(failure)
        ctx.close()
    }

    private fun malformed(cause: Throwable) = ProtocolException("malformed response: ${cause.message}").apply { initCause(cause) }
}
