package dev.lycheehill.node.client

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.lycheehill.node.DataPathSettings
import dev.lycheehill.node.dialect.BackendResponseKind
import dev.lycheehill.node.http.HeaderRules
import dev.lycheehill.node.loop.Transport
import dev.lycheehill.node.relay.CollectedResponse
import dev.lycheehill.node.relay.ResponseCollector
import dev.lycheehill.node.relay.ResponseCollectorListener
import dev.lycheehill.node.upstream.ExchangeFailure
import dev.lycheehill.node.upstream.UpstreamPools
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion

/** HTTP/1.1 client for the calls that a node makes itself. Confined to [eventLoop], on which listeners are called as well. */
class NodeHttpClient(
    private val eventLoop: EventLoop,
    connectTimeoutMs: Int,
    keepAliveIdleS: Int,
) {
    private val upstreams =
        UpstreamPools(
            eventLoop,
            Transport.NIO.channelFactory,
            DataPathSettings(connectTimeoutMs = connectTimeoutMs, keepAliveIdleS = keepAliveIdleS),
        )

    /**
     * Sends a request to [address], which has the form `ip:port`.
     *
     * @param timeoutMs longest time without a byte of the response, in milliseconds.
     * @param listener receives the response or the failure.
     */
    fun call(
        address: String,
        method: HttpMethod,
        uri: String,
        body: ByteArray = ByteArray(0),
        contentType: String = "application/octet-stream",
        timeoutMs: Long,
        listener: (Either<HttpCallFailure, HttpClientResponse>) -> Unit,
    ) {
        val headers = HeaderRules.newHeaders()
        headers.set(HttpHeaderNames.HOST, address)
        if (method != HttpMethod.GET) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.size.toString())
            headers.set(HttpHeaderNames.CONTENT_TYPE, contentType)
        }
        val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, method, uri, headers)
        val collector = ResponseCollector(MAX_RESPONSE_BYTES, { BackendResponseKind.RAN }, AnswerListener(listener))
        collector.exchange = upstreams.pool(address).send(head, Unpooled.wrappedBuffer(body), timeoutMs, collector)
    }

    private class AnswerListener(
        private val listener: (Either<HttpCallFailure, HttpClientResponse>) -> Unit,
    ) : ResponseCollectorListener {
        override fun onComplete(response: CollectedResponse) {
            val bytes = ByteBufUtil.getBytes(response.body)
            response.body.release()
            listener(HttpClientResponse(response.status.code(), response.headers, bytes).right())
        }

        override fun onTooLarge(collector: ResponseCollector) {
            collector.cancel()
            listener(HttpCallFailure("response exceeds $MAX_RESPONSE_BYTES bytes", mayHaveRun = true).left())
        }

        override fun onFailure(failure: ExchangeFailure) = listener(HttpCallFailure.of(failure).left())

        override fun onStreamComplete() = Unit
    }

    private companion object {
        // A page of the store is base64-encoded and has at most 1 MB.
        const val MAX_RESPONSE_BYTES = 4 * 1024 * 1024
    }
}
