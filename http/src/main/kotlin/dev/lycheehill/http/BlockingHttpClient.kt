package dev.lycheehill.http

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.concurrent.DefaultThreadFactory
import java.io.IOException
import java.net.ConnectException
import java.net.SocketTimeoutException
import java.net.URI
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/**
 * Blocking HTTP/1.1 client that accepts only well-formed and complete responses. Each request has a connection of its own.
 * Thread-safe.
 *
 * @param connectTimeoutMs timeout for opening a connection, in milliseconds.
 */
class BlockingHttpClient(
    connectTimeoutMs: Long,
) {
    private val bootstrap =
        Bootstrap()
            .group(eventLoops)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs.toInt())

    /**
     * Sends [call] and waits for the response.
     *
     * Throws a [ConnectException] if there is no connection, so that nothing was sent. Throws a [SocketTimeoutException] if the response
     * is not complete in time, and another [IOException] if the response is malformed or its connection ends early; the request may have
     * been executed then. Throws an [InterruptedException] when the thread is interrupted.
     */
    fun send(call: HttpCall): HttpResult {
        val result = CompletableFuture<HttpResult>()
        val connecting = bootstrap.clone().handler(Initializer(requestOf(call), result)).connect(call.uri.host, call.uri.port)
        connecting.addListener { if (!it.isSuccess) result.completeExceptionally(notConnected(call.uri, it.cause())) }
        try {
            return result.get(call.timeoutMs, TimeUnit.MILLISECONDS)
        } catch (e: ExecutionException) {
            throw e.cause ?: e
        } catch (_: TimeoutException) {
            throw SocketTimeoutException("no complete response within ${call.timeoutMs} ms")
        } finally {
            connecting.channel().close()
        }
    }

    private fun requestOf(call: HttpCall): FullHttpRequest {
        val query =
            call.uri.rawQuery
                ?.let { "?$it" }
                .orEmpty()
        val target = call.uri.rawPath.ifEmpty { "/" } + query
        val content = call.body?.let(Unpooled::wrappedBuffer) ?: Unpooled.EMPTY_BUFFER
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method), target, content)
        request.headers().set(HttpHeaderNames.HOST, call.uri.authority)
        call.headers.forEach { (name, value) -> request.headers().set(name, value) }
        request.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        if (call.method != "GET") request.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
        return request
    }

    private fun notConnected(
        uri: URI,
        cause: Throwable,
    ) = ConnectException("no connection to ${uri.authority}: ${cause.message}").apply { initCause(cause) }

    private class Initializer(
        private val request: FullHttpRequest,
        private val result: CompletableFuture<HttpResult>,
    ) : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            val decoder = StrictResponseDecoder()
            channel
                .pipeline()
                .addLast(HttpRequestEncoder(), decoder, HttpObjectAggregator(MAX_RESPONSE_BYTES), CallHandler(request, decoder, result))
        }
    }

    private companion object {
        const val MAX_RESPONSE_BYTES = 64 * 1024 * 1024
        val eventLoops = MultiThreadIoEventLoopGroup(1, DefaultThreadFactory("lycheehill-http", true), NioIoHandler.newFactory())
    }
}
