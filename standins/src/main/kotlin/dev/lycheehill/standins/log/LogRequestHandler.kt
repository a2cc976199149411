package dev.lycheehill.standins.log

import arrow.core.Either
import dev.lycheehill.platformlog.http.LogJson
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.QueryStringDecoder
import java.util.concurrent.TimeUnit

/** Serves the HTTP protocol of the log on one connection. */
internal class LogRequestHandler(
    private val service: LogServerState,
) : SimpleChannelInboundHandler<FullHttpRequest>() {
    override fun channelRead0(
        ctx: ChannelHandlerContext,
        request: FullHttpRequest,
    ) {
        val uri = QueryStringDecoder(request.uri())
        val keepAlive = HttpUtil.isKeepAlive(request)
        val stream = STREAM_PATH.matchEntire(uri.path())?.groupValues?.get(1)
        when {
            uri.path() == FAULTS_PATH -> faults(ctx, request, keepAlive)
            stream == null -> answer(ctx, keepAlive, HttpResponseStatus.NOT_FOUND)
            request.method() == HttpMethod.POST -> {
                val payload = ByteBufUtil.getBytes(request.content())
                afterDelay(ctx) { append(ctx, keepAlive, stream, payload) }
            }
            request.method() == HttpMethod.GET -> afterDelay(ctx) { read(ctx, keepAlive, ReadQuery.of(stream, uri)) }
            else -> answer(ctx, keepAlive, HttpResponseStatus.METHOD_NOT_ALLOWED)
        }
    }

    @Deprecated("Deprecated by Netty without a replacement for inbound handlers")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }

    // The delay also holds for a connection that the client has closed, so a delayed append takes effect late.
    private fun afterDelay(
        ctx: ChannelHandlerContext,
        task: () -> Unit,
    ) {
        val delayMs = service.faults.delayMs
        if (delayMs > 0) ctx.executor().schedule(task, delayMs, TimeUnit.MILLISECONDS) else task()
    }

    private fun append(
        ctx: ChannelHandlerContext,
        keepAlive: Boolean,
        stream: String,
        payload: ByteArray,
    ) {
        val faults = service.faults
        if (faults.outage) return answer(ctx, keepAlive, HttpResponseStatus.SERVICE_UNAVAILABLE)
        val waitMs = service.tryAppend(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()))
        if (waitMs > 0) return answer(ctx, keepAlive, HttpResponseStatus.TOO_MANY_REQUESTS)
        val offset = service.store.append(stream, payload, faults.retainRecords)
        if (faults.loseAnswers) ctx.close() else answer(ctx, keepAlive, HttpResponseStatus.OK, LogJson.encodeAppendResponse(offset))
    }

    private fun read(
        ctx: ChannelHandlerContext,
        keepAlive: Boolean,
        query: ReadQuery?,
    ) {
        if (query == null) return answer(ctx, keepAlive, HttpResponseStatus.BAD_REQUEST)
        LongPoll(
            ctx = ctx,
            service = service,
            query = query,
            onOutage = { answer(ctx, keepAlive, HttpResponseStatus.SERVICE_UNAVAILABLE) },
            onPage = { answer(ctx, keepAlive, HttpResponseStatus.OK, LogJson.encodePage(it)) },
        ).start()
    }

    private fun faults(
        ctx: ChannelHandlerContext,
        request: FullHttpRequest,
        keepAlive: Boolean,
    ) = when (request.method()) {
        HttpMethod.GET -> answer(ctx, keepAlive, HttpResponseStatus.OK, FaultsJson.write(service.faults))
        HttpMethod.PUT ->
            when (val faults = FaultsJson.read(ByteBufUtil.getBytes(request.content()))) {
                is Either.Left -> answer(ctx, keepAlive, HttpResponseStatus.BAD_REQUEST, FaultsJson.error(faults.value))
                is Either.Right -> {
                    service.faults = faults.value
                    answer(ctx, keepAlive, HttpResponseStatus.OK, FaultsJson.write(faults.value))
                }
            }
        else -> answer(ctx, keepAlive, HttpResponseStatus.METHOD_NOT_ALLOWED)
    }

    private fun answer(
        ctx: ChannelHandlerContext,
        keepAlive: Boolean,
        status: HttpResponseStatus,
        body: ByteArray = FaultsJson.error(status.reasonPhrase()),
    ) {
        val content = Unpooled.wrappedBuffer(body)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        HttpUtil.setContentLength(response, content.readableBytes().toLong())
        HttpUtil.setKeepAlive(response, keepAlive)
        val written = ctx.writeAndFlush(response)
        if (!keepAlive) written.addListener(ChannelFutureListener.CLOSE)
    }

    private companion object {
        const val FAULTS_PATH = "/v1/faults"
        val STREAM_PATH = Regex("/v1/streams/([^/]+)/records")
    }
}
