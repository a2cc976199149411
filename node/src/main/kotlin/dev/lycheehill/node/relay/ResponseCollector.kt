package dev.lycheehill.node.relay

import dev.lycheehill.core.Verdict
import dev.lycheehill.node.dialect.BackendResponseKind
import dev.lycheehill.node.http.BodyBuffer
import dev.lycheehill.node.http.InboundCall
import dev.lycheehill.node.upstream.Exchange
import dev.lycheehill.node.upstream.ExchangeFailure
import dev.lycheehill.node.upstream.ExchangeListener
import io.netty.buffer.ByteBufAllocator
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent

/**
 * Holds a response until it is whole. A response above [maxBytes] is streamed to the caller instead, and reading from
 * the peer stops while the caller's connection accepts no more.
 *
 * @param judge tells what a response means for the request that was sent.
 */
internal class ResponseCollector(
    private val maxBytes: Int,
    private val judge: (HttpResponse) -> BackendResponseKind,
    private val listener: ResponseCollectorListener,
) : ExchangeListener {
    private val body = BodyBuffer(ByteBufAllocator.DEFAULT)
    private var sink: InboundCall? = null
    private var done = false
    private var parts = 0

    /** Head of the response; set before any event of the listener but a failure. */
    lateinit var head: HttpResponse
        private set

    lateinit var exchange: Exchange

    private var answer = BackendResponseKind.RAN

    override fun belongsToOtherRequest(response: HttpResponse): Boolean = judge(response) == BackendResponseKind.OTHER_REQUEST

    override fun onResponse(response: HttpResponse) {
        head = response
        answer = judge(response)
        if (answer == BackendResponseKind.INVALID) {
            exchange.cancel()
            onFailure(ExchangeFailure(Verdict.MAY_HAVE_RUN, ExchangeFailure.Kind.BAD_RESPONSE))
        }
    }

    override fun onContent(content: HttpContent) {
        if (done) {
            content.release()
            return
        }
        val caller = sink
        if (caller == null) collect(content) else forward(caller, content)
    }

    override fun onFailure(failure: ExchangeFailure) {
        if (done) return
        done = true
        body.release()
        listener.onFailure(failure)
    }

    /** Starts to send the response to [call], beginning with what has been collected. */
    fun streamTo(
        call: InboundCall,
        headers: HttpHeaders,
    ) {
        sink = call
        call.startStream(head.status(), headers)
        call.write(DefaultHttpContent(body.take()))
        pauseIfFull(call)
    }

    /** Continues to read after the caller's connection was full. */
    fun resume() {
        if (!done) exchange.setReading(true)
    }

    /** Gives up the attempt. No event follows. */
    fun cancel() {
        if (done) return
        done = true
        body.release()
        exchange.cancel()
    }

    private fun collect(content: HttpContent) {
        body.add(content.content())
        parts++
        if (parts > MANY_PARTS && body.sizeBytes < parts * LEAST_MEAN_PART_BYTES) {
            exchange.cancel()
            onFailure(ExchangeFailure(Verdict.MAY_HAVE_RUN, ExchangeFailure.Kind.BAD_RESPONSE))
            return
        }
        if (content is LastHttpContent) {
            done = true
            listener.onComplete(CollectedResponse(head.status(), head.headers(), body.take(), answer))
        } else if (body.sizeBytes > maxBytes) {
            listener.onTooLarge(this)
        }
    }

    private fun forward(
        caller: InboundCall,
        content: HttpContent,
    ) {
        if (content is LastHttpContent) {
            done = true
            caller.end(content)
            listener.onStreamComplete()
            return
        }
        caller.write(content)
        pauseIfFull(caller)
    }

    private fun pauseIfFull(caller: InboundCall) {
        if (!caller.isWritable) exchange.setReading(false)
    }

    private companion object {
        // A stream of tiny parts would keep the event loop from other calls; no answer of more than 1,024 parts has such.
        const val MANY_PARTS = 1_024
        const val LEAST_MEAN_PART_BYTES = 16
    }
}
