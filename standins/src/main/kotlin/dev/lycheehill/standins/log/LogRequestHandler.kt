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

/** Netty handler that serves the HTTP protocol of the platform's log on one connection. */
internal class LogRequestHandler(
    private val serverState: LogServerState,
) : SimpleChannelInboundHandler<FullHttpRequest>() {
    override fun channelRead0(
        ctx: ChannelHandlerContext,
        request: FullHttpRequest,
    ) {
        val uri = QueryStringDecoder(request.uri())
        val keepAlive = HttpUtil.isKeepAlive(request)
        val stream = STREAM_PATH.matchEntire(uri.path())?.groupValues?.get(1)
        when {
            uri.path() == FAULTS_PATH -> handleFaults(ctx, request, keepAlive)
            stream == null -> sendResponse(ctx, keepAlive, HttpResponseStatus.NOT_FOUND)
            request.method() == HttpMethod.POST -> {
                val payload = ByteBufUtil.getBytes(request.content())
                afterDelay(ctx) { append(ctx, keepAlive, stream, payload) }
            }
            request.method() == HttpMethod.GET -> afterDelay(ctx) { read(ctx, keepAlive, ReadQuery.parse(stream, uri)) }
            else -> sendResponse(ctx, keepAlive, HttpResponseStatus.METHOD_NOT_ALLOWED)
        }
    }

    @Deprecated("Deprecated by Netty without a replacement for inbound handlers")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        ctx.close()
    }

    // A delayed request runs even if the client has closed the connection meanwhile, so a delayed append takes effect late.
    private fun afterDelay(
        ctx: ChannelHandlerContext,
        task: () -> Unit,
    ) {
        val delayMs = serverState.faults.delayMs
        if (delayMs > 0) ctx.executor().schedule(task, delayMs, TimeUnit.MILLISECONDS) else task()
    }

    private fun append(
        ctx: ChannelHandlerContext,
        keepAlive: Boolean,
        stream: String,
        payload: ByteArray,
    ) {
        val faults = serverState.faults
        if (faults.outage) return sendResponse(ctx, keepAlive, HttpResponseStatus.SERVICE_UNAVAILABLE)
        val waitMs = serverState.tryAcquireAppendToken(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()))
        if (waitMs > 0) return sendResponse(ctx, keepAlive, HttpResponseStatus.TOO_MANY_REQUESTS)
        val offset = serverState.store.append(stream, payload, faults.retainRecords)
        if (faults.loseResponses) ctx.close() else sendResponse(ctx, keepAlive, HttpResponseStatus.OK, LogJson.encodeAppendResponse(offset))
    }

    private fun read(
        ctx: ChannelHandlerContext,
        keepAlive: Boolean,
        query: ReadQuery?,
    ) {
        if (query == null) return sendResponse(ctx, keepAlive, HttpResponseStatus.BAD_REQUEST)
        LongPoll(
            ctx = ctx,
            serverState = serverState,
            query = query,
            onOutage = { sendResponse(ctx, keepAlive, HttpResponseStatus.SERVICE_UNAVAILABLE) },
            onPage = { sendResponse(ctx, keepAlive, HttpResponseStatus.OK, LogJson.encodePage(it)) },
        ).start()
    }

    private fun handleFaults(
        ctx: ChannelHandlerContext,
        request: FullHttpRequest,
        keepAlive: Boolean,
    ) = when (request.method()) {
        HttpMethod.GET -> sendResponse(ctx, keepAlive, HttpResponseStatus.OK, FaultsJson.encode(serverState.faults))
        HttpMethod.PUT ->
            when (val faults = FaultsJson.decode(ByteBufUtil.getBytes(request.content()))) {
                is Either.Left -> sendResponse(ctx, keepAlive, HttpResponseStatus.BAD_REQUEST, FaultsJson.encodeError(faults.value))
                is Either.Right -> {
                    serverState.faults = faults.value
                    sendResponse(ctx, keepAlive, HttpResponseStatus.OK, FaultsJson.encode(faults.value))
                }
            }
        else -> sendResponse(ctx, keepAlive, HttpResponseStatus.METHOD_NOT_ALLOWED)
    }

    private fun sendResponse(
        ctx: ChannelHandlerContext,
        keepAlive: Boolean,
        status: HttpResponseStatus,
        body: ByteArray = FaultsJson.encodeError(status.reasonPhrase()),
    ) {
        val content = Unpooled.wrappedBuffer(body)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        HttpUtil.setContentLength(response, content.readableBytes().toLong())
        HttpUtil.setKeepAlive(response, keepAlive)
        val writeFuture = ctx.writeAndFlush(response)
        if (!keepAlive) writeFuture.addListener(ChannelFutureListener.CLOSE)
    }

    private companion object {
        const val FAULTS_PATH = "/v1/faults"
        val STREAM_PATH = Regex("/v1/streams/([^/]+)/records")
    }
}
